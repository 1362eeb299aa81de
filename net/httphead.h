#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace vanillaspar
{

/** One header as it stood on the wire. */
struct HttpHeader
{
    std::string name;
    std::string value;
};

using HttpHeaders = std::vector<HttpHeader>;

/** The start line and headers of a message. */
struct HttpHead
{
    std::string method; ///< Of a request.
    std::string target; ///< Of a request, as sent: path and query.
    int status = 0; ///< Of a response.
    HttpHeaders headers;
    bool isKeepAlive = false; ///< Whether the connection may carry another message.
    bool hasLength = false; ///< Whether the body's length is declared.
    uint64_t length = 0; ///< Bytes of the body, if declared.
    bool endsWithConnection = false; ///< Whether the body has neither a length nor chunks.

    /** @return whether the status of a response says that the request succeeded. */
    bool isSuccess() const
    {
        return status >= 200 && status < 300;
    }
};

/** @return whether two header names are the same; case doesn't matter. */
bool isSameHeader(std::string_view left, std::string_view right);
/** @return the value of the first header of that name, or nullptr. */
const std::string *findHeader(const HttpHeaders &headers, std::string_view name);
/** @return whether a header concerns only one connection and must not be passed on. */
bool isConnectionHeader(std::string_view name);

}
