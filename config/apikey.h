#pragma once

#include "core/ids.h"

#include <string>

namespace vanillaspar
{

/** An API key by which callers authenticate as a team. Only its hash is stored; a key that is not listed is invalid. */
struct ApiKey
{
    KeyId id;
    TeamId team;
    std::string hash; ///< SHA-256 of the secret, in lower-case hexadecimal.

    bool operator==(const ApiKey &) const = default;
};

}
