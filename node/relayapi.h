#pragma once

#include "objects/objectapi.h"

#include <functional>
#include <string>
#include <vector>

namespace vanillaspar
{

class PeerLink;
class Random;

/** Sends object store calls through a random peer, for a node that can't reach the platform directly. */
class RelayApi : public ObjectApi
{
public:
    /** @return peer addresses of the nodes that may relay a call. */
    using RelayPeers = std::function<std::vector<std::string>()>;

    RelayApi(PeerLink &link, Random &random, RelayPeers peers);

    /** Sends the call to a peer; does nothing if there is none. */
    void submit(const ObjectCall &call) override;

private:
    PeerLink &m_link;
    Random &m_random;
    RelayPeers m_relayPeers;
};

}
