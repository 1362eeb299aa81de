#pragma once

#include "objects/objectapi.h"

#include <functional>
#include <string>
#include <vector>

namespace vanillaspar
{

class PeerLink;
class Random;

/** The object API through a peer, for a node that can't reach the platform itself. */
class RelayApi : public ObjectApi
{
public:
    /** @return peer addresses that may be able to help. */
    using RelayPeers = std::function<std::vector<std::string>()>;

    RelayApi(PeerLink &link, Random &random, RelayPeers peers);

    void submit(const ObjectCall &call) override;

private:
    PeerLink &m_link;
    Random &m_random;
    RelayPeers m_relayPeers;
};

}
