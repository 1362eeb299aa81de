#include "net/httpingress.h"

#include "core/clock.h"
#include "net/httpreader.h"
#include "net/ingressconnection.h"
#include "net/loop.h"
#include "net/streamsocket.h"
#include "net/tcplistener.h"

#include <algorithm>
#include <cstdio>
#include <unistd.h>
#include <utility>
#include <vector>

namespace vanillaspar
{

namespace
{

constexpr Millis sweepInterval(200);
// How long a connection stays half closed so that the caller can read the last answer before a reset.
constexpr Millis lingerTime(1000);
// Milliseconds for a whole body, beyond what a slow but sound caller needs for the largest one.
constexpr Millis bodyTimeout(30000);
constexpr size_t maxUnwrittenBytes = 8UL * 1024 * 1024; // of a caller that doesn't read
constexpr size_t maxUnwrittenTotal = 32UL * 1024 * 1024; // of all callers, a fifth of a small host's memory

// Parts of the loop's descriptors. A request takes one for its caller and one for its server; the rest is for the
// store.
constexpr size_t callersPart = 7; // sixteenths that one ingress may take
constexpr size_t keptFreePart = 2; // sixteenths, left alone by an ingress that has more than its least part
constexpr size_t parts = 16;
constexpr size_t leastShare = 64; // one of so many, for each ingress whatever the others take
constexpr size_t droppedAtOnce = 64;
constexpr Millis droppableAfter(200); // so that a request that is already here is read first

constexpr Millis longPause(1000); // between two sweeps: the process itself stood still
constexpr int retryAfter = 1; // seconds

constexpr int badRequest = 400;
constexpr int requestTimeout = 408;
constexpr int payloadTooLarge = 413;
constexpr int tooManyRequests = 429;
constexpr int headTooLarge = 431;
constexpr int unavailable = 503;

}

HttpIngress::HttpIngress(Loop &loop, const Clock &clock, const Endpoint &endpoint, Handlers handlers)
    : m_loop(loop)
    , m_clock(clock)
    , m_handlers(std::move(handlers))
    , m_budgetBytes(CallerBudget::bytesForHost(0))
    , m_sweptAt(clock.now())
    , m_unwritten(maxUnwrittenBytes, maxUnwrittenTotal)
    , m_listener(std::make_unique<TcpListener>(loop, endpoint, [this](int descriptor) {
        accept(descriptor);
    }))
{
    loop.every(sweepInterval, [this] {
        sweep();
    });
}

HttpIngress::~HttpIngress() = default;

void HttpIngress::setLimits(const IngressLimits &limits)
{
    m_limits = limits;
    m_budget.setLimits(m_budgetBytes, m_limits.bodyBytes + m_limits.headBytes);
}

void HttpIngress::setMemoryBudget(size_t bytes)
{
    m_budgetBytes = bytes;
    setLimits(m_limits);
}

bool HttpIngress::hasRoom() const
{
    const size_t all = m_loop.maxDescriptors();
    if (m_connections.size() >= all * callersPart / parts) {
        return false;
    }
    return m_connections.size() < all / leastShare || m_loop.freeDescriptors() > all * keptFreePart / parts;
}

size_t HttpIngress::dropIdle()
{
    const Millis latest = m_clock.now() - droppableAfter;
    std::vector<std::pair<Millis, uint64_t>> idle;
    for (const auto &[id, connection] : m_connections) {
        if (connection->stage == Connection::Stage::Reading && connection->unread.empty()
            && !connection->reader->hasStarted() && connection->since < latest) {
            idle.emplace_back(connection->since, id);
        }
    }
    const size_t count = std::min({idle.size(), droppedAtOnce, m_connections.size() / 4 + 1});
    std::partial_sort(idle.begin(), idle.begin() + static_cast<std::ptrdiff_t>(count), idle.end());
    for (size_t i = 0; i < count; ++i) {
        drop(idle[i].second);
    }
    return count;
}

void HttpIngress::accept(int descriptor)
{
    if (hasRoom()) {
        m_roomMade = 0;
    } else if (m_roomMade == 0) {
        m_roomMade = dropIdle();
        if (m_roomMade == 0) {
            close(descriptor);
            return;
        }
    }
    m_roomMade -= m_roomMade > 0 ? 1 : 0;
    const uint64_t id = m_nextId++;
    auto owned = std::make_unique<Connection>();
    Connection *connection = owned.get();
    connection->id = id;
    connection->since = m_clock.now();
    connection->progressAt = connection->since;
    connection->address = callerAddress(descriptor);
    HttpReader::Handlers reading;
    reading.onHead = [this, connection](HttpHead &head) {
        onHead(*connection, head);
    };
    reading.onBody = [this, connection](std::string_view data) {
        connection->appendBody(data, m_limits.bodyBytes);
    };
    connection->reader
        = std::make_unique<HttpReader>(HttpReader::Kind::Requests, m_limits.headBytes, std::move(reading));
    StreamSocket::Handlers events;
    events.onData = [this, connection](std::string_view data) {
        onData(*connection, data);
    };
    events.onEnd = [this, id](SocketEnd) {
        drop(id);
    };
    connection->socket = std::make_unique<StreamSocket>(m_loop, descriptor, std::move(events));
    if (connection->socket->hasDescriptor()) {
        m_connections.emplace(id, std::move(owned));
    }
}

void HttpIngress::onHead(Connection &connection, HttpHead &head) const
{
    connection.isTooLarge = head.length > m_limits.bodyBytes;
    if (!connection.isTooLarge && findHeader(head.headers, "expect") != nullptr) {
        connection.socket->write("HTTP/1.1 100 Continue\r\n\r\n");
    }
    connection.request.head = std::move(head);
    connection.headBytes = memoryOf(connection.request.head);
}

void HttpIngress::onData(Connection &connection, std::string_view data)
{
    if (!m_isReading) {
        return;
    }
    const uint64_t id = connection.id;
    connection.countReceived(data.size(), m_clock.now());
    switch (connection.stage) {
    case Connection::Stage::Reading:
        if (connection.unread.empty()) {
            read(connection, data);
        } else {
            connection.unread.append(data);
            readNext(connection);
        }
        break;
    case Connection::Stage::Handling:
    case Connection::Stage::Answering:
        connection.unread.append(data);
        if (connection.unread.size() > m_limits.bodyBytes + m_limits.headBytes) {
            drop(connection.id);
        }
        break;
    case Connection::Stage::Lingering:
        return;
    }
    const auto entry = m_connections.find(id);
    if (entry != m_connections.end()) {
        account(*entry->second);
    }
    limitKept();
}

void HttpIngress::readNext(Connection &connection)
{
    std::string data;
    data.swap(connection.unread);
    read(connection, data);
}

void HttpIngress::read(Connection &connection, std::string_view data)
{
    if (data.empty()) {
        return;
    }
    if (!connection.reader->hasStarted()) {
        connection.since = m_clock.now();
        connection.request.startedAt = connection.since;
    }
    size_t consumed = 0;
    const HttpReader::State state = connection.reader->feed(data, consumed);
    if (connection.isTooLarge) {
        fail(connection, payloadTooLarge);
        return;
    }
    switch (state) {
    case HttpReader::State::Malformed:
        fail(connection, badRequest);
        return;
    case HttpReader::State::HeadTooLarge:
        fail(connection, headTooLarge);
        return;
    case HttpReader::State::NeedsMore:
        return;
    case HttpReader::State::Complete:
        break;
    }
    data.remove_prefix(consumed);
    connection.unread.assign(data);
    handle(connection);
}

void HttpIngress::handle(Connection &connection)
{
    if (connection.request.body.capacity() > 2 * connection.request.body.size()) {
        connection.request.body.shrink_to_fit();
    }
    const size_t bytes = connection.bytesToHandle();
    if (!m_budget.admits(bytes)) {
        ++m_givenUp;
        fail(connection, unavailable);
        return;
    }
    connection.handledBytes = bytes;
    connection.headBytes = 0;
    connection.stage = Connection::Stage::Handling;
    connection.since = m_clock.now();
    connection.isKeepAlive = connection.request.head.isKeepAlive;
    connection.exchange = m_nextId++;
    m_connectionByExchange[connection.exchange] = connection.id;
    IngressRequest request = std::move(connection.request);
    connection.request = {};
    account(connection);
    m_handlers.onRequest(connection.exchange, request);
}

void HttpIngress::fail(Connection &connection, int status)
{
    connection.isKeepAlive = false;
    connection.releaseRequest();
    connection.reader->reset();
    HttpHeaders headers;
    if (status == requestTimeout || status == tooManyRequests || status == unavailable) {
        headers.push_back({"Retry-After", std::to_string(retryAfter)});
    }
    startHead(connection, status, headers, true, 0);
    endExchange(connection);
}

void HttpIngress::account(const Connection &connection)
{
    m_budget.update(connection.id, connection.share());
}

void HttpIngress::limitKept()
{
    while (const std::optional<CallerExcess> excess = m_budget.findExcess(m_clock.now())) {
        ++m_givenUp;
        Connection &connection = *m_connections.at(excess->connection);
        if (connection.stage != Connection::Stage::Reading) {
            drop(excess->connection); // what came behind a request that runs
        } else if (excess->reason == CallerExcess::Reason::Address) {
            fail(connection, tooManyRequests);
        } else {
            fail(connection, excess->stalledFor > IngressConnection::scarceStall ? requestTimeout : unavailable);
        }
    }
}

HttpIngress::Connection *HttpIngress::find(uint64_t exchange)
{
    const auto entry = m_connectionByExchange.find(exchange);
    if (entry == m_connectionByExchange.end()) {
        return nullptr;
    }
    const auto connection = m_connections.find(entry->second);
    return connection == m_connections.end() ? nullptr : connection->second.get();
}

void HttpIngress::startHead(Connection &connection, int status, const HttpHeaders &headers, bool hasLength,
                            uint64_t length)
{
    // A request that was read behind this one is answered before the connection closes.
    connection.isKeepAlive = connection.isKeepAlive && !(m_isClosing && connection.unread.empty());
    connection.isChunked = !hasLength;
    connection.stage = Connection::Stage::Answering;
    connection.since = m_clock.now();
    connection.writeHead(status, headers, hasLength, length);
}

void HttpIngress::respond(uint64_t exchange, int status, const HttpHeaders &headers, std::string_view body)
{
    Connection *connection = find(exchange);
    if (connection == nullptr) {
        return;
    }
    startHead(*connection, status, headers, true, body.size());
    connection->socket->write(body);
    endExchange(*connection);
    limitUnwritten(*connection);
}

void HttpIngress::startAnswer(uint64_t exchange, const HttpHead &head)
{
    Connection *connection = find(exchange);
    if (connection != nullptr) {
        startHead(*connection, head.status, head.headers, head.hasLength, head.length);
    }
}

void HttpIngress::write(uint64_t exchange, std::string_view data)
{
    Connection *connection = find(exchange);
    if (connection == nullptr || data.empty()) {
        return;
    }
    if (connection->isChunked) {
        char size[20];
        const int digits = std::snprintf(size, sizeof(size), "%zx\r\n", data.size());
        std::string chunk(size, static_cast<size_t>(digits));
        chunk.append(data);
        chunk += "\r\n";
        connection->socket->write(chunk);
    } else {
        connection->socket->write(data);
    }
    limitUnwritten(*connection);
}

void HttpIngress::limitUnwritten(const Connection &connection)
{
    m_unwritten.update(connection.id, connection.unwrittenMemory());
    while (const std::optional<uint64_t> id = m_unwritten.findExcess()) {
        const auto entry = m_connections.find(*id);
        const size_t pending = entry == m_connections.end() ? 0 : entry->second->unwrittenMemory();
        const size_t before = m_unwritten.share(*id);
        m_unwritten.update(*id, pending); // the caller may have read since
        if (pending >= before) {
            drop(*id);
        }
    }
}

void HttpIngress::finish(uint64_t exchange)
{
    Connection *connection = find(exchange);
    if (connection == nullptr) {
        return;
    }
    if (connection->isChunked) {
        connection->socket->write("0\r\n\r\n");
    }
    endExchange(*connection);
    limitUnwritten(*connection); // answers without a body pile up by their heads
}

void HttpIngress::abort(uint64_t exchange)
{
    Connection *connection = find(exchange);
    if (connection != nullptr) {
        m_connectionByExchange.erase(exchange);
        connection->exchange = 0;
        drop(connection->id);
    }
}

void HttpIngress::endExchange(Connection &connection)
{
    m_connectionByExchange.erase(connection.exchange);
    connection.exchange = 0;
    connection.handledBytes = 0;
    connection.since = m_clock.now();
    connection.progressAt = connection.since;
    if (!connection.isKeepAlive) {
        connection.stage = Connection::Stage::Lingering;
        connection.releaseRequest();
        account(connection);
        connection.socket->finishAfterWrite();
        return;
    }
    connection.stage = Connection::Stage::Reading;
    connection.reader->reset();
    account(connection);
    // A request that was already received is read from the sweep or the next bytes, not from inside this answer.
}

void HttpIngress::drop(uint64_t id)
{
    const auto entry = m_connections.find(id);
    if (entry == m_connections.end()) {
        return;
    }
    const std::unique_ptr<Connection> connection = std::move(entry->second);
    m_connections.erase(entry);
    m_unwritten.update(id, 0);
    m_budget.erase(id);
    if (connection->exchange != 0) {
        m_connectionByExchange.erase(connection->exchange);
        m_handlers.onGone(connection->exchange);
    }
}

void HttpIngress::sweep()
{
    const Millis now = m_clock.now();
    // After a pause of the process itself, what callers sent meanwhile is read before they count as stalled.
    const bool wasPaused = now - m_sweptAt > longPause;
    m_sweptAt = now;
    std::vector<uint64_t> expired;
    std::vector<Connection *> late;
    std::vector<uint64_t> waiting;
    for (const auto &[id, connection] : m_connections) {
        const uint64_t sentBytes = connection->socket->bytesSent();
        if (connection->isResting() && sentBytes != connection->sentBytes) {
            connection->since = now; // a slow caller still takes its answer
        }
        connection->sentBytes = sentBytes;
        const Millis age = now - connection->since;
        if (connection->stage == Connection::Stage::Lingering) {
            if (age > (connection->socket->pendingBytes() > 0 ? m_limits.idleTimeout : lingerTime)) {
                expired.push_back(id);
            }
        } else if (connection->stage == Connection::Stage::Reading) {
            if (!connection->unread.empty() && m_isReading) {
                waiting.push_back(id);
            } else if (connection->reader->hasStarted()) {
                if (age > (connection->reader->hasHead() ? bodyTimeout : m_limits.headTimeout)) {
                    late.push_back(connection.get());
                } else if (connection->isReadingBody()) {
                    if (wasPaused) {
                        connection->receivedAt = now;
                        connection->progressAt = now;
                    } else if (connection->isStalled(now, m_limits.idleTimeout, m_budget.isScarce())) {
                        ++m_givenUp;
                        late.push_back(connection.get());
                    }
                }
            } else if (age > m_limits.idleTimeout) {
                expired.push_back(id);
            }
        }
    }
    for (Connection *connection : late) {
        fail(*connection, requestTimeout);
    }
    for (const uint64_t id : expired) {
        drop(id);
    }
    for (const uint64_t id : waiting) {
        const auto entry = m_connections.find(id);
        if (entry != m_connections.end()) {
            readNext(*entry->second);
        }
        const auto still = m_connections.find(id);
        if (still != m_connections.end()) {
            account(*still->second);
        }
    }
    limitKept();
}

bool HttpIngress::isQuiet() const
{
    return std::none_of(m_connections.begin(), m_connections.end(), [](const auto &entry) {
        return entry.second->isBusy();
    });
}

size_t HttpIngress::unwrittenBytes() const
{
    size_t bytes = 0;
    for (const auto &[id, connection] : m_connections) {
        bytes += connection->socket->pendingBytes();
    }
    return bytes;
}

}
