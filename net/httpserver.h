#pragma once

#include "net/endpoint.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <libwebsockets.h>
#include <map>
#include <string>

namespace vanillaspar
{

class Loop;

/** One HTTP request, whole. */
struct HttpRequest
{
    uint64_t exchange = 0; ///< Names the exchange when it is answered.
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::string authorization;
    std::string idempotencyKey;
    std::string deadlineMs;
    std::string cookie;
    std::string body;
};

/** An HTTP/1.1 server on the loop. Answers may come at any time after the request. */
class HttpServer
{
public:
    struct Handlers
    {
        std::function<void(const HttpRequest &)> onRequest;
        std::function<void(uint64_t)> onClosed; ///< The client went away before the answer's end.
    };

    /**
     * @param maxBody bytes that a request's body may have.
     * @throws ResourceError if the address can't be listened on.
     */
    HttpServer(Loop &loop, const Endpoint &endpoint, size_t maxBody, Handlers handlers);
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /** Sends a whole answer. @param etag is left out if empty. */
    void respond(uint64_t exchange, int status, const std::string &contentType, const std::string &body,
                 const std::string &etag = {});
    /** Starts an answer of unknown length. */
    void startStream(uint64_t exchange, int status, const std::string &contentType);
    /** Adds to a started answer. */
    void write(uint64_t exchange, const std::string &data);
    /** Ends a started answer. */
    void endStream(uint64_t exchange);
    /** Closes the connection without an answer, as a failure would. */
    void abort(uint64_t exchange);

private:
    struct Exchange
    {
        lws *wsi = nullptr;
        HttpRequest request;
        size_t expected = 0; ///< Bytes of the body.
        bool isDispatched = false;
        bool isHeaderDue = false;
        bool isEnded = false;
        bool isAborted = false;
        bool hasLength = false;
        int status = 0;
        std::string contentType;
        std::string etag;
        std::string pending; ///< Bytes that wait to be written.
    };

    static int callback(lws *wsi, lws_callback_reasons reason, void *user, void *in, size_t length);
    int onHeaders(lws *wsi, uint64_t *session);
    int onBody(Exchange &exchange, const char *data, size_t length);
    int onWriteable(uint64_t id);
    int writeHeader(Exchange &exchange);
    void dispatch(Exchange &exchange);
    void fail(uint64_t exchange, int status, const std::string &code);
    Exchange *find(uint64_t id);

    Loop &m_loop;
    size_t m_maxBody;
    Handlers m_handlers;
    lws_protocols m_protocols[2] {};
    std::map<uint64_t, Exchange> m_exchanges;
    uint64_t m_nextExchange = 1;
    std::string m_ip; ///< libwebsockets keeps a pointer to it.
};

}
