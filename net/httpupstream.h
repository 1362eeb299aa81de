#pragma once

#include "core/units.h"
#include "net/endpoint.h"
#include "net/httphead.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace vanillaspar
{

class Clock;
class Loop;
enum class SocketEnd;

/** How an exchange with a server ended. */
enum class UpstreamEnd
{
    Complete,
    NotSent, ///< No byte of the request left this process.
    Broken, ///< The connection ended or fell silent after bytes had been sent.
    Malformed, ///< What came back is no HTTP response, or is longer than the limits allow.
};

/** A request to a server. */
struct UpstreamRequest
{
    Endpoint endpoint;
    std::string peer; ///< Connections are reused only for the same endpoint and peer.
    std::string method;
    std::string target;
    HttpHeaders headers;
    std::string body;
    /**
     * Header in which the server repeats the request's own one, if any. A response with another value, or with none on
     * a connection that had earlier requests, belongs to one of these and is dropped.
     */
    std::string echoHeader;
    std::string echoValue; ///< Empty if the response must not have the header.
    size_t maxBodyBytes = 0; ///< A longer body counts as malformed; 0 for no limit.
    Millis timeout {0}; ///< Until the response is complete; 0 leaves it to the caller.
    /** Whether the request is sent again, on a new connection, if its kept connection ends without a response. */
    bool isRepeatable = false;
    bool needsNewConnection = false; ///< Whether no kept connection may be used.
    bool closesConnection = false; ///< Whether its connection serves no other request, before or after.
};

/** What a server's answer consists of. */
struct UpstreamHandlers
{
    std::function<void(HttpHead &)> onHead;
    std::function<void(std::string_view)> onBody;
    std::function<void(UpstreamEnd)> onEnd; ///< Called once, last.
};

/** A whole answer of a server. */
struct UpstreamAnswer
{
    UpstreamEnd end = UpstreamEnd::NotSent;
    int status = 0; ///< 0 if no answer began.
    HttpHeaders headers;
    std::string body;
};

/** HTTP/1.1 requests to servers over kept connections, one request at a time on each. */
class HttpUpstream
{
public:
    HttpUpstream(Loop &loop, const Clock &clock);
    ~HttpUpstream();
    HttpUpstream(const HttpUpstream &) = delete;
    HttpUpstream &operator=(const HttpUpstream &) = delete;

    /** Sends a request. @return a number for cancel(). */
    uint64_t send(UpstreamRequest request, UpstreamHandlers handlers);
    /**
     * Sends a request whose answer is wanted as a whole.
     *
     * @param request without a limit for its body, the limit is 8 MiB.
     * @return a number for cancel().
     */
    uint64_t sendWhole(UpstreamRequest request, std::function<void(const UpstreamAnswer &)> handler);
    /**
     * Ends the exchanges with a peer of which no byte has left this process, soon and as not sent.
     *
     * @param peer as given in their requests.
     */
    void abandonUnsent(const Endpoint &endpoint, const std::string &peer);
    /** Closes the exchange's connection; none of its handlers is called again. */
    void cancel(uint64_t exchange);

private:
    struct Connection;

    static std::string poolName(const Endpoint &endpoint, const std::string &peer);
    Connection *takeIdle(const std::string &pool, bool isRepeatable);
    void open(const std::string &pool, UpstreamRequest &&request, UpstreamHandlers &&handlers, uint64_t exchange);
    void start(Connection &connection, UpstreamRequest &&request, UpstreamHandlers &&handlers, uint64_t exchange);
    void onData(Connection &connection, std::string_view data);
    void completeMessage(Connection &connection);
    void onSocketEnd(uint64_t id, SocketEnd how);
    void end(Connection &connection, UpstreamEnd how, bool isReusable);
    void sweep();
    /** @return whether the exchange on a connection has to end: without having been sent, or without an answer. */
    bool isOverdue(const Connection &connection, Millis now) const;

    Loop &m_loop;
    const Clock &m_clock;
    std::map<uint64_t, std::unique_ptr<Connection>> m_connections;
    std::map<uint64_t, uint64_t> m_connectionByExchange;
    std::map<std::string, std::vector<uint64_t>> m_idle; ///< The most lately used last.
    std::vector<std::unique_ptr<Connection>> m_retired; ///< Cancelled, perhaps from inside their own handlers.
    std::set<std::string> m_abandonedPools; ///< Whose unsent exchanges the next sweep ends.
    uint64_t m_nextId = 1;
};

}
