#include "node/relayapi.h"

#include "cluster/peerlink.h"
#include "core/random.h"

namespace vanillaspar
{

RelayApi::RelayApi(PeerLink &link, Random &random, Helpers helpers)
    : m_link(link), m_random(random), m_helpers(std::move(helpers))
{
}

void RelayApi::submit(const ObjectCall &call)
{
    const std::vector<std::string> helpers = m_helpers();
    if (!helpers.empty()) {
        m_link.send(helpers[m_random.below(helpers.size())], RelayRequest {call});
    }
}

}
