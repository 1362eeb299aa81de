#include "node/relayapi.h"

#include "cluster/peerlink.h"
#include "core/random.h"

namespace vanillaspar
{

RelayApi::RelayApi(PeerLink &link, Random &random, RelayPeers peers)
    : m_link(link), m_random(random), m_relayPeers(std::move(peers))
{
}

void RelayApi::submit(const ObjectCall &call)
{
    const std::vector<std::string> peers = m_relayPeers();
    if (!peers.empty()) {
        m_link.send(peers[m_random.below(peers.size())], RelayRequest {call});
    }
}

}
