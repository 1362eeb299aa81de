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
    uint64_t caller = 0; ///< The connection's exchange; answers name it.
    std::string keyHash; ///< SHA-256 of the key that came with it; empty if none did.
    std::string target; ///< adapter@version or a route's name.
    bool isService = false; ///< Whether it calls a plain service.
    std::string payload; ///< Prompt, or the service's body.
    Tokens maxTokens {256};
    Millis timeout; ///< Time that the caller gives it; 0 for the default.
    std::string idempotencyKey;
};

}
