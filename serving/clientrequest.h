#pragma once

#include "core/ids.h"
#include "core/units.h"
#include "net/httphead.h"

#include <cstdint>
#include <optional>
#include <string>

namespace vanillaspar::serving
{

/** A caller's request as it came in, with the parts decoded that decide its way. */
struct ClientRequest
{
    uint64_t exchange = 0; ///< Names the caller's connection to the caller port.
    RequestId id;
    std::string host;
    std::string method;
    std::string target; ///< Path and query, byte for byte.
    HttpHeaders headers; ///< To be passed on; without keys and without those of one connection.
    std::string body;
    std::string key; ///< Empty if none was shown.
    std::string weights; ///< "model" or "model/adapter"; empty for a plain service.
    std::optional<Tokens> tokens; ///< Prompt and most output tokens together.
    Tokens promptTokens;
    std::optional<Millis> callerTimeout; ///< How long the caller will wait.
    Millis receivedAt;

    /** @return the path of the target, without its query. */
    std::string_view path() const
    {
        return std::string_view(target).substr(0, target.find('?'));
    }
};

}
