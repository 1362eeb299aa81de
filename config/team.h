#pragma once

#include "core/ids.h"
#include "core/units.h"

namespace vanillaspar
{

/** A customer. Its callers share one token bucket over all hosts. */
struct Team
{
    TeamId id;
    Tokens rate; ///< Refill rate of the bucket, in tokens a second.
    Tokens burst; ///< Capacity of the bucket, in tokens.

    bool operator==(const Team &) const = default;
};

}
