#pragma once

#include "core/units.h"

#include <cstdint>

namespace vanillaspar
{

/** How many retries a pool may receive in any window. */
struct RetryLimits
{
    double ratio = 0; ///< Retries for each request in a window.
    double allowance = 0; ///< Additional retries in a window.
    Millis window {10000};

    /**
     * @param hosts number of hosts that share the limits.
     * @return the limits of one host, less a reserve for retries that arrive later than they were decided.
     */
    RetryLimits shareOf(int64_t hosts) const;
};

}
