#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace vanillaspar
{

/** A response as a reader gets it that takes nothing but what RFC 9112 calls valid. */
struct StrictAnswer
{
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    bool isAmbiguous = false; ///< Whether bytes follow that start no other response.
};

/**
 * Reads the response to a GET request, independently of the product's reader.
 *
 * @param bytes all that came before the server closed the connection.
 * @return nothing if the response is invalid, incomplete, or of unknown length with a body that begins and ends as
 * a chunked one.
 */
std::optional<StrictAnswer> readStrictly(std::string_view bytes);

}
