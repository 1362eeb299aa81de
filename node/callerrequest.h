#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <cstdint>
#include <string>

namespace vanillaspar
{

/** A caller's request, after the HTTP layer has parsed it. */
struct CallerRequest
{
    uint64_t caller = 0; ///< ID of the HTTP exchange, for the CallerLink.
    std::string keyHash; ///< SHA-256 of the API key; empty if the request has none.
    std::string target; ///< An adapter as name@version, or the name of a route.
    bool isService = false; ///< Whether it is for a plain service, not for an adapter.
    std::string payload; ///< Prompt, or body of the service call.
    Tokens maxTokens {256};
    Millis timeout; ///< Time until the caller's deadline; 0 for the default.
    std::string idempotencyKey;
};

}
