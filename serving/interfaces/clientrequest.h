#pragma once

#include "core/ids.h"
#include "core/units.h"
#include "net/httphead.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace vanillaspar::serving
{

/** A caller's request as received, with the fields decoded that admission and scheduling need. */
struct ClientRequest
{
    uint64_t exchange = 0; ///< Identifies the HTTP exchange towards the ResponseWriter; ascending by arrival.
    RequestId id;
    std::string host;
    std::string method;
    std::string target; ///< Path and query, unmodified.
    HttpHeaders headers; ///< Headers to forward; API keys and hop-by-hop headers are removed.
    std::string body;
    std::string key; ///< API key; empty if the caller sent none.
    std::string weights; ///< "model" or "model/adapter"; empty for a plain service.
    std::optional<Tokens> tokens; ///< Prompt tokens plus the maximum of output tokens.
    Tokens promptTokens;
    std::vector<PromptPartId> promptParts; ///< In order; the last one belongs to this request or its session alone.
    PromptPartId fingerprint; ///< Identifies the request whatever its id; set on receipt, empty without parts.
    std::optional<Millis> callerTimeout; ///< How long the caller waits, counted from receivedAt.
    Millis receivedAt;

    /** @return the path of the target without the query. */
    std::string_view path() const
    {
        return std::string_view(target).substr(0, target.find('?'));
    }
};

}
