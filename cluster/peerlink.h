#pragma once

#include "cluster/message.h"
#include "core/ids.h"

#include <string>
#include <vector>

namespace vanillaspar
{

/** The network between nodes, as one node sees it. */
class PeerLink
{
public:
    virtual ~PeerLink() = default;

    /**
     * Sends a message, which may be lost, late or doubled.
     *
     * A refused connection comes back to Node::onPeerRefused().
     *
     * @param address the peer's IP number and port.
     */
    virtual void send(const std::string &address, const Message &message) = 0;
    /** Sends the same message to several peers. */
    virtual void sendAll(const std::vector<std::string> &addresses, const Message &message)
    {
        for (const std::string &address : addresses) {
            send(address, message);
        }
    }
};

}
