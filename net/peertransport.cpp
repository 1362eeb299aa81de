#include "net/peertransport.h"

#include "core/error.h"
#include "core/eventlog.h"
#include "net/loop.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace vanillaspar
{

namespace
{

constexpr const char *listenProtocol = "peer";
constexpr size_t maxFrame = 4UL * 1024 * 1024; // bytes
constexpr size_t maxQueued = 16UL * 1024 * 1024; // bytes for one peer
constexpr size_t maxDatagram = 1200; // bytes, below the path's usual limit
constexpr Millis probeInterval(50);
constexpr Millis probeTimeout(3000);
constexpr size_t lengthBytes = 4;
constexpr size_t writePiece = 64UL * 1024; // bytes

bool isDatagramKind(const Message &message)
{
    return std::holds_alternative<Pong>(message) || std::holds_alternative<TokenRequest>(message)
        || std::holds_alternative<TokenGrant>(message) || std::holds_alternative<TokenRefund>(message);
}

std::string withLength(const std::string &frame)
{
    const uint32_t length = htonl(static_cast<uint32_t>(frame.size()));
    return std::string(reinterpret_cast<const char *>(&length), lengthBytes) + frame;
}

}

PeerTransport::PeerTransport(Loop &loop, const HostId &self, const Endpoint &endpoint, MessageCodec codec,
                             EventLog &log, Handlers handlers)
    : m_loop(loop)
    , m_self(self)
    , m_codec(std::move(codec))
    , m_log(log)
    , m_handlers(std::move(handlers))
    , m_ip(endpoint.ip)
{
    listen(endpoint);
    openClient();
    loop.every(probeInterval, [this] {
        checkProbes();
    });
}

void PeerTransport::listen(const Endpoint &endpoint)
{
    m_listenProtocols[0].name = listenProtocol;
    m_listenProtocols[0].callback = callback;
    m_listenProtocols[0].user = this;
    lws_context_creation_info info {};
    info.port = endpoint.port;
    info.iface = m_ip.c_str();
    info.protocols = m_listenProtocols;
    info.vhost_name = "peer";
    info.options = LWS_SERVER_OPTION_DISABLE_IPV6 | LWS_SERVER_OPTION_FAIL_UPON_UNABLE_TO_BIND
        | LWS_SERVER_OPTION_ADOPT_APPLY_LISTEN_ACCEPT_CONFIG;
    info.listen_accept_role = "raw-skt";
    info.listen_accept_protocol = listenProtocol;
    if (lws_create_vhost(m_loop.context(), &info) == nullptr) {
        throw ResourceError("can't listen on " + endpoint.text());
    }
    m_udpProtocols[0].name = "peer-udp";
    m_udpProtocols[0].callback = callback;
    m_udpProtocols[0].user = this;
    lws_context_creation_info udp {};
    udp.port = CONTEXT_PORT_NO_LISTEN;
    udp.protocols = m_udpProtocols;
    udp.vhost_name = "peer-udp";
    udp.options = LWS_SERVER_OPTION_DISABLE_IPV6;
    lws_vhost *vhost = lws_create_vhost(m_loop.context(), &udp);
    m_udp = vhost == nullptr ? nullptr
                             : lws_create_adopt_udp(vhost, m_ip.c_str(), endpoint.port, LWS_CAUDP_BIND, "peer-udp",
                                                    nullptr, nullptr, nullptr, nullptr);
    if (m_udp == nullptr) {
        throw ResourceError("can't receive datagrams on " + endpoint.text());
    }
}

void PeerTransport::openClient()
{
    m_clientProtocols[0].name = "peer-client";
    m_clientProtocols[0].callback = callback;
    m_clientProtocols[0].user = this;
    lws_context_creation_info info {};
    info.port = CONTEXT_PORT_NO_LISTEN;
    info.protocols = m_clientProtocols;
    info.vhost_name = "peer-client";
    info.options = LWS_SERVER_OPTION_DISABLE_IPV6;
    m_clientVhost = lws_create_vhost(m_loop.context(), &info);
    if (m_clientVhost == nullptr) {
        throw ResourceError("libwebsockets can't create a client for peers");
    }
}

void PeerTransport::send(const std::string &address, const Message &message)
{
    const std::string frame = m_codec.encode(m_self, message);
    m_bytesSent += frame.size();
    if (isDatagramKind(message) && frame.size() <= maxDatagram) {
        sendDatagram(address, frame);
        return;
    }
    Connection &connection = m_connections[address];
    if (connection.queuedBytes + frame.size() > maxQueued) {
        return; // a peer that doesn't read loses messages, like one that can't be reached
    }
    connection.queuedBytes += frame.size();
    connection.frames.push_back(withLength(frame));
    if (connection.wsi == nullptr) {
        connect(address, connection);
    } else if (connection.isOpen) {
        lws_callback_on_writable(connection.wsi);
    }
}

void PeerTransport::sendDatagram(const std::string &address, const std::string &frame)
{
    const sockaddr_in target = Endpoint::parse(address).socketAddress();
    sendto(lws_get_socket_fd(m_udp), frame.data(), frame.size(), MSG_DONTWAIT,
           reinterpret_cast<const sockaddr *>(&target), sizeof(target));
}

void PeerTransport::connect(const std::string &address, Connection &connection)
{
    const Endpoint endpoint = Endpoint::parse(address);
    connection.startedAt = m_loop.now();
    lws_client_connect_info info {};
    info.context = m_loop.context();
    info.vhost = m_clientVhost;
    info.address = endpoint.ip.c_str();
    info.port = endpoint.port;
    info.host = endpoint.ip.c_str();
    info.method = "RAW";
    info.local_protocol_name = "peer-client";
    info.pwsi = &connection.wsi;
    lws_client_connect_via_info(&info);
}

PeerTransport::Connection *PeerTransport::find(lws *wsi)
{
    for (auto &[address, connection] : m_connections) {
        if (connection.wsi == wsi) {
            return &connection;
        }
    }
    return nullptr;
}

int PeerTransport::callback(lws *wsi, lws_callback_reasons reason, void * /*user*/, void *in, size_t length)
{
    const lws_protocols *protocol = wsi == nullptr ? nullptr : lws_get_protocol(wsi);
    auto *transport = protocol == nullptr ? nullptr : static_cast<PeerTransport *>(protocol->user);
    if (transport == nullptr) {
        return 0;
    }
    Connection *connection = transport->find(wsi);
    switch (reason) {
    case LWS_CALLBACK_RAW_ADOPT:
        // libwebsockets copies the protocol table, so the protocol is told by its name.
        if (std::strcmp(protocol->name, listenProtocol) == 0) {
            transport->m_incoming[wsi];
        }
        return 0;
    case LWS_CALLBACK_RAW_CONNECTED:
        if (connection != nullptr) {
            connection->isOpen = true;
            lws_callback_on_writable(wsi);
        }
        return 0;
    case LWS_CALLBACK_RAW_WRITEABLE:
        return connection == nullptr ? 0 : transport->onWriteable(*connection);
    case LWS_CALLBACK_RAW_RX:
        if (wsi == transport->m_udp) {
            transport->onDatagram(static_cast<const char *>(in), length);
            return 0;
        }
        return transport->onReceived(wsi, static_cast<const char *>(in), length);
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
    case LWS_CALLBACK_RAW_CLOSE: {
        transport->m_incoming.erase(wsi);
        for (auto &[address, candidate] : transport->m_connections) {
            if (candidate.wsi == wsi) {
                transport->onDisconnected(address, reason == LWS_CALLBACK_CLIENT_CONNECTION_ERROR);
                break;
            }
        }
        return 0;
    }
    default:
        return 0;
    }
}

void PeerTransport::onDisconnected(const std::string &address, bool hasFailed)
{
    Connection &connection = m_connections[address];
    connection = Connection {}; // what was queued is lost, like any message may be
    if (hasFailed) {
        startProbe(address);
    }
}

void PeerTransport::startProbe(const std::string &address)
{
    // Only a refusal by the peer's own machine proves that the process is gone; an unreachable network or a time-out
    // doesn't, and libwebsockets doesn't tell them apart.
    const bool isProbed = std::any_of(m_probes.begin(), m_probes.end(), [&](const Probe &probe) {
        return probe.address == address;
    });
    const int socket = isProbed ? -1 : ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (socket < 0) {
        return;
    }
    const sockaddr_in target = Endpoint::parse(address).socketAddress();
    const bool hasFailed = ::connect(socket, reinterpret_cast<const sockaddr *>(&target), sizeof(target)) != 0;
    m_probes.push_back({address, m_loop.now(), socket, hasFailed ? errno : 0});
}

void PeerTransport::checkProbes()
{
    std::vector<Probe> ended;
    std::erase_if(m_probes, [&](Probe &probe) {
        pollfd waiting {probe.socket, POLLOUT, 0};
        if (probe.error == EINPROGRESS && ::poll(&waiting, 1, 0) > 0) {
            socklen_t length = sizeof(probe.error);
            getsockopt(probe.socket, SOL_SOCKET, SO_ERROR, &probe.error, &length);
        }
        const bool isOver = probe.error != EINPROGRESS || m_loop.now() - probe.startedAt > probeTimeout;
        if (isOver) {
            ::close(probe.socket);
            ended.push_back(probe);
        }
        return isOver;
    });
    for (const Probe &probe : ended) {
        if (probe.error == ECONNREFUSED && m_handlers.onRefused) {
            m_handlers.onRefused(probe.address, probe.startedAt);
        }
    }
}

int PeerTransport::onWriteable(Connection &connection)
{
    if (connection.frames.empty()) {
        return 0;
    }
    const std::string &frame = connection.frames.front();
    const size_t length = std::min(writePiece, frame.size() - connection.offset);
    std::vector<unsigned char> buffer(LWS_PRE + length);
    std::memcpy(buffer.data() + LWS_PRE, frame.data() + connection.offset, length);
    if (lws_write(connection.wsi, buffer.data() + LWS_PRE, length, LWS_WRITE_RAW) < static_cast<int>(length)) {
        return -1;
    }
    connection.offset += length;
    if (connection.offset == frame.size()) {
        connection.queuedBytes -= frame.size() - lengthBytes;
        connection.offset = 0;
        connection.frames.pop_front();
    }
    if (!connection.frames.empty()) {
        lws_callback_on_writable(connection.wsi);
    }
    return 0;
}

int PeerTransport::onReceived(lws *wsi, const char *data, size_t length)
{
    const auto incoming = m_incoming.find(wsi);
    if (incoming == m_incoming.end()) {
        return 0;
    }
    incoming->second.append(data, length);
    size_t start = 0;
    const std::string buffer = incoming->second;
    while (buffer.size() - start >= lengthBytes) {
        uint32_t size = 0;
        std::memcpy(&size, buffer.data() + start, lengthBytes);
        size = ntohl(size);
        if (size > maxFrame) {
            m_log.record(EventCode::MessageRejected, "peer", "frame of " + std::to_string(size) + " bytes");
            return -1;
        }
        if (buffer.size() - start - lengthBytes < size) {
            break;
        }
        receive(std::string_view(buffer).substr(start + lengthBytes, size));
        start += lengthBytes + size;
    }
    const auto still = m_incoming.find(wsi);
    if (still != m_incoming.end()) {
        still->second.erase(0, start);
    }
    return 0;
}

void PeerTransport::onDatagram(const char *data, size_t length)
{
    receive(std::string_view(data, length));
}

void PeerTransport::receive(std::string_view frame)
{
    try {
        const Envelope envelope = m_codec.decode(frame);
        m_handlers.onMessage(envelope.from, envelope.message);
    } catch (const DecodeError &error) {
        m_log.record(EventCode::MessageRejected, "peer", error.what());
    }
}

}
