#pragma once

#include "cluster/message.h"
#include "core/ids.h"

#include <string>
#include <vector>

namespace vanillaspar
{

/** Sends messages to other hosts. */
class PeerLink
{
public:
    virtual ~PeerLink() = default;

    /**
     * Sends a message without confirmation; it may be lost, delayed or delivered twice.
     *
     * If the peer refuses the connection, Node::onPeerRefused() is called.
     *
     * @param address the peer's IP number and port.
     */
    virtual void send(const std::string &address, const Message &message) = 0;
    /** Sends the same message to each of @p addresses; override it where encoding once for all is cheaper. */
    virtual void sendAll(const std::vector<std::string> &addresses, const Message &message)
    {
        for (const std::string &address : addresses) {
            send(address, message);
        }
    }
};

}
