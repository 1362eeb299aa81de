#pragma once

#include "core/buffershares.h"
#include "core/callerbudget.h"
#include "core/units.h"
#include "net/endpoint.h"
#include "net/httphead.h"
#include "net/ingresslimits.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>

namespace vanillaspar
{

class Clock;
class Loop;
struct IngressConnection;
class TcpListener;

/** One whole request that was received. */
struct IngressRequest
{
    HttpHead head;
    std::string body;
    Millis startedAt; ///< When its first byte came.
};

/**
 * An HTTP/1.1 server that keeps every byte of a request as it was sent.
 *
 * Requests are handed over whole; answers are passed on piece by piece. A connection carries one exchange at a time.
 * When descriptors run short, connections without a request make room for new ones; without such, new ones are closed.
 * When the memory for requests runs short, unfinished ones make room, and large ones are refused before they run.
 */
class HttpIngress
{
public:
    struct Handlers
    {
        std::function<void(uint64_t exchange, IngressRequest &request)> onRequest;
        std::function<void(uint64_t exchange)> onGone; ///< The caller left before its answer was complete.
    };

    /** @throws ResourceError if the address can't be listened on. */
    HttpIngress(Loop &loop, const Clock &clock, const Endpoint &endpoint, Handlers handlers);
    ~HttpIngress();
    HttpIngress(const HttpIngress &) = delete;
    HttpIngress &operator=(const HttpIngress &) = delete;

    void setLimits(const IngressLimits &limits);
    /** Sets how much memory all callers together may make this server keep, besides answers that they don't read. */
    void setMemoryBudget(size_t bytes);
    /** @return bytes of memory that requests take now, unfinished ones and those being handled. */
    size_t keptBytes() const
    {
        return m_budget.total();
    }
    /** @return requests so far that were refused, or given up unfinished, for want of memory or of progress. */
    uint64_t givenUp() const
    {
        return m_givenUp;
    }
    /** Every answer from now on closes its connection. */
    void beginClosing()
    {
        m_isClosing = true;
    }

    /** Reads no further request. Those that were read whole are answered. */
    void stopReading()
    {
        m_isReading = false;
    }
    /** @return whether no request is read in part or lacks its answer, and no byte of an answer waits. */
    bool isQuiet() const;
    /** @return bytes of answers that the connections have not taken yet. */
    size_t unwrittenBytes() const;

    /** Sends a whole answer. */
    void respond(uint64_t exchange, int status, const HttpHeaders &headers, std::string_view body);
    /** Starts an answer; without a length it is sent in chunks. */
    void startAnswer(uint64_t exchange, const HttpHead &head);
    /** Adds to a started answer. */
    void write(uint64_t exchange, std::string_view data);
    /** Ends a started answer. */
    void finish(uint64_t exchange);
    /** Closes the connection, so that an answer under way can't look complete. */
    void abort(uint64_t exchange);

private:
    using Connection = IngressConnection;

    void accept(int descriptor);
    /** @return whether one more connection leaves enough descriptors for calls to servers and for other ingresses. */
    bool hasRoom() const;
    /** Closes the connections that have waited longest for a request, a few at once. @return how many. */
    size_t dropIdle();
    void onHead(Connection &connection, HttpHead &head) const;
    void onData(Connection &connection, std::string_view data);
    /** Reads what came behind an earlier request. */
    void readNext(Connection &connection);
    void read(Connection &connection, std::string_view data);
    /** Hands over a request that was read whole, or refuses it for want of memory. */
    void handle(Connection &connection);
    void fail(Connection &connection, int status);
    /** Records what a connection keeps. */
    void account(const Connection &connection);
    /** Gives up unfinished requests until what callers keep is within the budget. */
    void limitKept();
    void startHead(Connection &connection, int status, const HttpHeaders &headers, bool hasLength, uint64_t length);
    void endExchange(Connection &connection);
    void drop(uint64_t connection);
    /** Drops connections, perhaps this one, until what callers leave unread is within the limits. */
    void limitUnwritten(const Connection &connection);
    void sweep();
    Connection *find(uint64_t exchange);

    Loop &m_loop;
    const Clock &m_clock;
    Handlers m_handlers;
    IngressLimits m_limits;
    std::map<uint64_t, std::unique_ptr<Connection>> m_connections;
    std::map<uint64_t, uint64_t> m_connectionByExchange;
    uint64_t m_nextId = 1;
    size_t m_roomMade = 0; ///< Connections that may still be accepted for those that dropIdle() closed.
    bool m_isClosing = false;
    bool m_isReading = true;
    size_t m_budgetBytes;
    CallerBudget m_budget; ///< What requests keep.
    uint64_t m_givenUp = 0;
    Millis m_sweptAt;
    BufferShares m_unwritten; ///< Bytes that callers have yet to read, by connection.
    std::unique_ptr<TcpListener> m_listener;
};

}
