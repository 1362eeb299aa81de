#pragma once

#include "cluster/messagecodec.h"
#include "cluster/peerlink.h"
#include "core/units.h"
#include "net/endpoint.h"

#include <deque>
#include <functional>
#include <libwebsockets.h>
#include <map>
#include <string>
#include <vector>

namespace vanillaspar
{

class EventLog;
class Loop;

/**
 * Messages between nodes: TCP for pings and work, UDP for small answers that may be lost.
 *
 * A node sends over connections that it opened and receives over those that others opened. A frame on TCP is a length
 * of four bytes, the most significant first, and then the codec's frame.
 */
class PeerTransport : public PeerLink
{
public:
    struct Handlers
    {
        std::function<void(const HostId &, const Message &)> onMessage;
        std::function<void(const std::string &, Millis)> onRefused; ///< Address and when the connection was begun.
    };

    /** @throws ResourceError if the address can't be listened on. */
    PeerTransport(Loop &loop, const HostId &self, const Endpoint &endpoint, MessageCodec codec, EventLog &log,
                  Handlers handlers);
    PeerTransport(const PeerTransport &) = delete;
    PeerTransport &operator=(const PeerTransport &) = delete;

    void send(const std::string &address, const Message &message) override;

    /** @return bytes sent to other nodes so far. */
    uint64_t bytesSent() const
    {
        return m_bytesSent;
    }

private:
    struct Connection
    {
        lws *wsi = nullptr;
        bool isOpen = false;
        Millis startedAt;
        std::deque<std::string> frames;
        size_t queuedBytes = 0;
        size_t offset = 0; ///< Bytes of the first frame that were written.
    };

    /** A connection attempt of our own, made to see whether the peer's machine refuses. */
    struct Probe
    {
        std::string address;
        Millis startedAt;
        int socket = -1;
        int error = 0; ///< errno of the attempt; EINPROGRESS while it runs.
    };

    static int callback(lws *wsi, lws_callback_reasons reason, void *user, void *in, size_t length);
    void listen(const Endpoint &endpoint);
    void openClient();
    void connect(const std::string &address, Connection &connection);
    int onWriteable(Connection &connection);
    int onReceived(lws *wsi, const char *data, size_t length);
    void onDatagram(const char *data, size_t length);
    void onDisconnected(const std::string &address, bool hasFailed);
    void startProbe(const std::string &address);
    void checkProbes();
    void sendDatagram(const std::string &address, const std::string &frame);
    void receive(std::string_view frame);
    Connection *find(lws *wsi);

    Loop &m_loop;
    HostId m_self;
    MessageCodec m_codec;
    EventLog &m_log;
    Handlers m_handlers;
    std::string m_ip;
    lws_protocols m_listenProtocols[2] {};
    lws_protocols m_clientProtocols[2] {};
    lws_protocols m_udpProtocols[2] {};
    lws_vhost *m_clientVhost = nullptr;
    lws *m_udp = nullptr;
    std::map<std::string, Connection> m_connections; ///< Outgoing, by the peer's address.
    std::map<lws *, std::string> m_incoming; ///< Bytes received and not yet a whole frame.
    std::vector<Probe> m_probes;
    uint64_t m_bytesSent = 0;
};

}
