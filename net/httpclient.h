#pragma once

#include "net/httpupstream.h"

#include <cstdint>
#include <functional>
#include <string>

namespace vanillaspar
{

class Loop;

/** What to send. */
struct HttpCall
{
    std::string method = "GET";
    std::string address; ///< IP number and port.
    std::string path;
    std::string body;
    std::string authorization; ///< Value of the header; left out if empty.
    std::string idempotencyKey; ///< Value of the header; left out if empty.
};

/** How a call ended. */
struct HttpResult
{
    enum class Kind
    {
        Complete, ///< The whole answer came.
        NotSent, ///< No connection was made, so nothing was sent.
        Broken, ///< The connection ended after the call had been sent, or what came is no valid answer.
    };

    Kind kind = Kind::Broken;
    int status = 0;
    std::string etag;
    std::string body; ///< Empty if a data handler took it.
};

/** An HTTP client on the loop: one connection for each call, so that a call's fate is always known. */
class HttpClient
{
public:
    using DataHandler = std::function<void(int status, const std::string &data)>;
    using DoneHandler = std::function<void(const HttpResult &)>;

    explicit HttpClient(Loop &loop);
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /**
     * Starts a call.
     *
     * @param onDone is called once, from the loop, never from here.
     * @param onData takes the body as it comes; without it the body, of 8 MiB at most, is gathered for onDone.
     * @return the call's number, for cancel().
     */
    uint64_t call(const HttpCall &call, DoneHandler onDone, DataHandler onData = {});
    /** Closes the connection; no handler is called any more. */
    void cancel(uint64_t id);

private:
    HttpUpstream m_upstream;
};

}
