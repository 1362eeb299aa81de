#pragma once

#include "cluster/messagecodec.h"
#include "cluster/peerlink.h"
#include "net/datagramsocket.h"

#include <functional>
#include <set>
#include <string>

namespace vanillaspar
{

class EventLog;
class Loop;

/** Messages between hosts as datagrams: each tells all it has to tell, so that a lost one is made up by the next. */
class FleetTransport : public PeerLink
{
public:
    using Handler = std::function<void(const HostId &, const Message &)>;

    /** @throws ResourceError if the address can't be bound. */
    FleetTransport(Loop &loop, HostId self, const Endpoint &endpoint, MessageCodec codec, EventLog &log,
                   Handler handler);

    void send(const std::string &address, const Message &message) override;
    /** Encodes the message once for all. */
    void sendAll(const std::vector<std::string> &addresses, const Message &message) override;

private:
    void receive(std::string_view frame);

    HostId m_self;
    MessageCodec m_codec;
    EventLog &m_log;
    Handler m_handler;
    DatagramSocket m_socket;
    std::set<std::string> m_rejectedAddresses; ///< That were logged.
};

}
