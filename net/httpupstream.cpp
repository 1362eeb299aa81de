#include "net/httpupstream.h"

#include "core/clock.h"
#include "net/httpreader.h"
#include "net/loop.h"
#include "net/streamsocket.h"

#include <algorithm>
#include <cstdlib>

namespace vanillaspar
{

namespace
{

constexpr size_t maxHeadBytes = 64UL * 1024;
// Informational responses, the head, and responses to earlier requests that come late, for one request.
constexpr size_t maxUnassignedBytes = 1024UL * 1024;
constexpr size_t maxWholeBytes = 8UL * 1024 * 1024;
// A handshake inside a region takes milliseconds; one lost packet is sent again within a few hundred.
constexpr Millis connectTimeout(600);
constexpr Millis sweepInterval(50);
// A server that names no time may close after less than a second, since it names whole seconds only.
constexpr Millis unnamedKeepAlive(400);
// Taken off the time that a server names, for the way of the request and for its clock.
constexpr Millis keepAliveMargin(400);
constexpr Millis longestKeepAlive(30000);
constexpr int switchingProtocols = 101; // never asked for
constexpr int firstFinalStatus = 200;
constexpr int firstErrorStatus = 400;
constexpr size_t smallBody = 64UL * 1024; // bytes that go into one write with their head

Millis keepAliveOf(const HttpHead &head)
{
    const std::string *value = findHeader(head.headers, "keep-alive");
    if (value == nullptr) {
        return unnamedKeepAlive;
    }
    const size_t at = value->find("timeout=");
    if (at == std::string::npos) {
        return unnamedKeepAlive;
    }
    const int64_t seconds = std::strtoll(value->c_str() + at + 8, nullptr, 10);
    return std::clamp(Millis(seconds * 1000) - keepAliveMargin, Millis(0), longestKeepAlive);
}

/** @return whether a server says that it keeps the connection open after a response. */
bool isPersistent(const HttpHead &head)
{
    const std::string *connection = findHeader(head.headers, "connection");
    return findHeader(head.headers, "keep-alive") != nullptr
        || (connection != nullptr && isSameHeader(*connection, "keep-alive"));
}

}

/** One connection to a server. */
struct HttpUpstream::Connection
{
    uint64_t id = 0;
    std::string pool;
    std::unique_ptr<StreamSocket> socket;
    std::unique_ptr<HttpReader> reader;
    UpstreamHandlers handlers;
    UpstreamRequest request; ///< Without its body once sent, unless it may be repeated.
    uint64_t exchange = 0; ///< 0 while it is idle.
    uint64_t sentBefore = 0; ///< Bytes of earlier requests.
    size_t unassignedBytes = 0; ///< Received for the exchange without being its body.
    int status = 0; ///< Of the answer; 0 before its head.
    size_t bodyBytes = 0; ///< Received of its body.
    Millis startedAt;
    Millis idleSince;
    Millis keepAlive;
    bool isFresh = true; ///< Whether no exchange was completed on it yet.
    bool isMalformed = false; ///< Whether its head can't be an answer to what was asked.
    bool isInterim = false; ///< Whether the last message was an interim answer.
    bool isForeign = false; ///< Whether the response being read belongs to an earlier request.
    bool isUnusable = false; ///< Whether it must be closed after this exchange.

    void onHead(HttpHead &head);
    void onBody(std::string_view data);
    /** @return whether more was received than the limits allow. */
    bool isUnbounded() const
    {
        return unassignedBytes > maxUnassignedBytes || (request.maxBodyBytes > 0 && bodyBytes > request.maxBodyBytes);
    }
    /**
     * @return whether the end of the connection in order completes the answer. The start of a successful answer that
     * came before the whole request was written can't be told from a truncated one.
     */
    bool isCompletedByEnd() const
    {
        return !isForeign && reader->hasHead() && (socket->pendingBytes() == 0 || status >= firstErrorStatus);
    }
    /** @return whether a response answers the current request, by the header that repeats the request's own one. */
    bool isEchoed(const HttpHead &head) const;
};

bool HttpUpstream::Connection::isEchoed(const HttpHead &head) const
{
    if (request.echoHeader.empty()) {
        return true;
    }
    const std::string *echo = findHeader(head.headers, request.echoHeader);
    if (request.echoValue.empty()) {
        return echo == nullptr;
    }
    return echo != nullptr ? *echo == request.echoValue : isFresh;
}

void HttpUpstream::Connection::onHead(HttpHead &head)
{
    const bool isContradictory = head.endsWithConnection && isPersistent(head) && request.method != "HEAD";
    isMalformed = head.status == switchingProtocols || isContradictory;
    isInterim = head.status < firstFinalStatus && !isMalformed;
    isForeign = isMalformed || isInterim || !isEchoed(head);
    if (isForeign) {
        isUnusable = isUnusable || !isInterim;
        return;
    }
    status = head.status;
    isUnusable = isUnusable || !head.isKeepAlive;
    keepAlive = keepAliveOf(head);
    if (request.method == "HEAD") {
        reader->expectNoBody();
    }
    if (handlers.onHead) {
        const auto handler = handlers.onHead; // it may cancel the exchange
        handler(head);
    }
}

void HttpUpstream::Connection::onBody(std::string_view data)
{
    if (isForeign) {
        return;
    }
    bodyBytes += data.size();
    if (handlers.onBody) {
        const auto handler = handlers.onBody;
        handler(data);
    }
}

HttpUpstream::HttpUpstream(Loop &loop, const Clock &clock) : m_loop(loop), m_clock(clock)
{
    loop.every(sweepInterval, [this] {
        sweep();
    });
}

HttpUpstream::~HttpUpstream() = default;

std::string HttpUpstream::poolName(const Endpoint &endpoint, const std::string &peer)
{
    return endpoint.text() + "/" + peer;
}

uint64_t HttpUpstream::send(UpstreamRequest request, UpstreamHandlers handlers)
{
    const uint64_t exchange = m_nextId++;
    const std::string pool = poolName(request.endpoint, request.peer);
    const bool mayReuse = !request.needsNewConnection && !request.closesConnection;
    Connection *connection = mayReuse ? takeIdle(pool, request.isRepeatable) : nullptr;
    if (connection != nullptr) {
        start(*connection, std::move(request), std::move(handlers), exchange);
    } else {
        open(pool, std::move(request), std::move(handlers), exchange);
    }
    return exchange;
}

uint64_t HttpUpstream::sendWhole(UpstreamRequest request, std::function<void(const UpstreamAnswer &)> handler)
{
    const auto answer = std::make_shared<UpstreamAnswer>();
    request.maxBodyBytes = request.maxBodyBytes == 0 ? maxWholeBytes : request.maxBodyBytes;
    UpstreamHandlers handlers;
    handlers.onHead = [answer](HttpHead &head) {
        answer->status = head.status;
        answer->headers = head.headers;
    };
    handlers.onBody = [answer](std::string_view data) {
        answer->body.append(data);
    };
    handlers.onEnd = [answer, handler = std::move(handler)](UpstreamEnd how) {
        answer->end = how;
        handler(*answer);
    };
    return send(std::move(request), std::move(handlers));
}

HttpUpstream::Connection *HttpUpstream::takeIdle(const std::string &pool, bool isRepeatable)
{
    const auto entry = m_idle.find(pool);
    if (entry == m_idle.end() || entry->second.empty()) {
        return nullptr;
    }
    Connection &connection = *m_connections.at(entry->second.back());
    const Millis idle = m_clock.now() - connection.idleSince;
    // A request that must not be repeated keeps well clear of the server's own time-out.
    const Millis limit = isRepeatable ? connection.keepAlive : connection.keepAlive / 2;
    if (idle > limit) {
        return nullptr; // the others have been idle for longer; the sweep closes them
    }
    entry->second.pop_back();
    return &connection;
}

void HttpUpstream::open(const std::string &pool, UpstreamRequest &&request, UpstreamHandlers &&handlers,
                        uint64_t exchange)
{
    const uint64_t id = m_nextId++;
    auto owned = std::make_unique<Connection>();
    Connection *connection = owned.get();
    connection->id = id;
    connection->pool = pool;
    HttpReader::Handlers reading;
    reading.onHead = [connection](HttpHead &head) {
        connection->onHead(head);
    };
    reading.onBody = [connection](std::string_view data) {
        connection->onBody(data);
    };
    connection->reader = std::make_unique<HttpReader>(HttpReader::Kind::Responses, maxHeadBytes, std::move(reading));
    StreamSocket::Handlers events;
    events.onData = [this, connection](std::string_view data) {
        onData(*connection, data);
    };
    events.onEnd = [this, id](SocketEnd how) {
        onSocketEnd(id, how);
    };
    connection->socket = std::make_unique<StreamSocket>(m_loop, request.endpoint, std::move(events));
    m_connections.emplace(id, std::move(owned));
    start(*connection, std::move(request), std::move(handlers), exchange);
}

void HttpUpstream::start(Connection &connection, UpstreamRequest &&request, UpstreamHandlers &&handlers,
                         uint64_t exchange)
{
    connection.request = std::move(request);
    connection.handlers = std::move(handlers);
    connection.exchange = exchange;
    connection.startedAt = m_clock.now();
    connection.sentBefore = connection.socket->bytesSent();
    connection.unassignedBytes = 0;
    connection.bodyBytes = 0;
    connection.status = 0;
    connection.isForeign = false;
    connection.isMalformed = false;
    connection.isInterim = false;
    connection.reader->reset();
    m_connectionByExchange[exchange] = connection.id;
    const UpstreamRequest &sent = connection.request;
    std::string text = sent.method + " " + sent.target + " HTTP/1.1\r\n";
    for (const HttpHeader &header : sent.headers) {
        text += header.name;
        text += ": ";
        text += header.value;
        text += "\r\n";
    }
    if (sent.closesConnection) {
        text += "Connection: close\r\n";
    }
    const bool hasBody = !sent.body.empty() || (sent.method != "GET" && sent.method != "HEAD");
    if (hasBody) {
        text += "Content-Length: " + std::to_string(sent.body.size()) + "\r\n";
    }
    text += "\r\n";
    if (sent.body.size() <= smallBody) {
        text += sent.body;
        connection.socket->write(text);
    } else {
        connection.socket->write(text);
        connection.socket->write(sent.body);
    }
    if (!connection.request.isRepeatable) {
        std::string().swap(connection.request.body);
    }
}

void HttpUpstream::onData(Connection &connection, std::string_view data)
{
    if (connection.exchange == 0) {
        // Bytes on an idle connection belong to no request.
        onSocketEnd(connection.id, SocketEnd::Reset);
        return;
    }
    const uint64_t id = connection.id;
    const uint64_t exchange = connection.exchange;
    while (!data.empty()) {
        size_t consumed = 0;
        const bool isOwnBody = connection.reader->hasHead() && !connection.isForeign;
        const HttpReader::State state = connection.reader->feed(data, consumed);
        const auto alive = m_connections.find(id);
        if (alive == m_connections.end() || alive->second->exchange != exchange) {
            return; // a handler cancelled the exchange
        }
        data.remove_prefix(std::min(consumed, data.size()));
        connection.unassignedBytes += isOwnBody ? 0 : consumed;
        if (connection.isUnbounded() || connection.isMalformed) {
            end(connection, UpstreamEnd::Malformed, false);
            return;
        }
        if (state == HttpReader::State::NeedsMore) {
            return;
        }
        if (state != HttpReader::State::Complete) {
            end(connection, UpstreamEnd::Malformed, false);
            return;
        }
        if (!connection.isForeign) {
            connection.isUnusable = connection.isUnusable || !data.empty();
            completeMessage(connection);
            return;
        }
        connection.reader->reset();
    }
}

void HttpUpstream::completeMessage(Connection &connection)
{
    // An answer that came before the whole request was written leaves bytes behind that would start the next one.
    const bool isReusable
        = !connection.isUnusable && !connection.request.closesConnection && connection.socket->pendingBytes() == 0;
    end(connection, UpstreamEnd::Complete, isReusable);
}

void HttpUpstream::onSocketEnd(uint64_t id, SocketEnd how)
{
    const auto entry = m_connections.find(id);
    if (entry == m_connections.end()) {
        return;
    }
    Connection &connection = *entry->second;
    if (connection.exchange == 0) {
        std::vector<uint64_t> &idle = m_idle[connection.pool];
        idle.erase(std::remove(idle.begin(), idle.end(), id), idle.end());
        m_connections.erase(entry);
        return;
    }
    const bool isUnsent = how == SocketEnd::Refused || connection.socket->bytesSent() == connection.sentBefore;
    if (isUnsent) {
        end(connection, UpstreamEnd::NotSent, false);
        return;
    }
    if (how == SocketEnd::Closed && connection.isInterim) {
        end(connection, UpstreamEnd::Malformed, false);
        return;
    }
    if (how == SocketEnd::Closed && connection.isCompletedByEnd()
        && connection.reader->finish() == HttpReader::State::Complete) {
        end(connection, UpstreamEnd::Complete, false);
        return;
    }
    if (connection.request.isRepeatable && !connection.isFresh && !connection.reader->hasStarted()) {
        // The server closed a kept connection while the request was on its way.
        UpstreamRequest request = std::move(connection.request);
        UpstreamHandlers handlers = std::move(connection.handlers);
        const uint64_t exchange = connection.exchange;
        const std::string pool = connection.pool;
        m_connections.erase(entry);
        open(pool, std::move(request), std::move(handlers), exchange);
        return;
    }
    end(connection, UpstreamEnd::Broken, false);
}

void HttpUpstream::end(Connection &connection, UpstreamEnd how, bool isReusable)
{
    m_connectionByExchange.erase(connection.exchange);
    const UpstreamHandlers handlers = std::move(connection.handlers);
    connection.handlers = {};
    connection.exchange = 0;
    connection.isFresh = false;
    if (isReusable && connection.keepAlive.value > 0) {
        connection.idleSince = m_clock.now();
        m_idle[connection.pool].push_back(connection.id);
    } else {
        m_connections.erase(connection.id);
    }
    if (handlers.onEnd) {
        handlers.onEnd(how);
    }
}

void HttpUpstream::cancel(uint64_t exchange)
{
    const auto entry = m_connectionByExchange.find(exchange);
    if (entry == m_connectionByExchange.end()) {
        return;
    }
    const auto connection = m_connections.find(entry->second);
    m_connectionByExchange.erase(entry);
    connection->second->socket.reset();
    connection->second->handlers = {}; // more of the answer may be in the read that is being handled
    m_retired.push_back(std::move(connection->second));
    m_connections.erase(connection);
}

void HttpUpstream::abandonUnsent(const Endpoint &endpoint, const std::string &peer)
{
    m_abandonedPools.insert(poolName(endpoint, peer));
}

bool HttpUpstream::isOverdue(const Connection &connection, Millis now) const
{
    const Millis age = now - connection.startedAt;
    const bool isConnecting = !connection.socket->isConnected();
    const bool isTooLate = connection.request.timeout.value > 0 && age > connection.request.timeout;
    const bool isUnsent = connection.socket->bytesSent() == connection.sentBefore;
    return !connection.socket->hasDescriptor() || (isConnecting && age > connectTimeout) || isTooLate
        || (isUnsent && m_abandonedPools.count(connection.pool) > 0);
}

void HttpUpstream::sweep()
{
    m_retired.clear();
    const Millis now = m_clock.now();
    std::vector<uint64_t> timedOut;
    for (const auto &[id, connection] : m_connections) {
        if (connection->exchange == 0) {
            continue;
        }
        if (isOverdue(*connection, now)) {
            timedOut.push_back(id);
        }
    }
    m_abandonedPools.clear();
    for (const uint64_t id : timedOut) {
        const auto entry = m_connections.find(id);
        if (entry != m_connections.end() && entry->second->exchange != 0) {
            Connection &connection = *entry->second;
            const bool isUnsent = connection.socket->bytesSent() == connection.sentBefore;
            end(connection, isUnsent ? UpstreamEnd::NotSent : UpstreamEnd::Broken, false);
        }
    }
    for (auto entry = m_idle.begin(); entry != m_idle.end();) {
        std::vector<uint64_t> &idle = entry->second;
        while (!idle.empty()) {
            const Connection &oldest = *m_connections.at(idle.front());
            if (now - oldest.idleSince <= oldest.keepAlive) {
                break;
            }
            m_connections.erase(idle.front());
            idle.erase(idle.begin());
        }
        entry = idle.empty() ? m_idle.erase(entry) : std::next(entry);
    }
}

}
