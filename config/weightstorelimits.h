#pragma once

#include <cstdint>

namespace vanillaspar
{

/** Limits for loading adapters from the weight store, over all hosts together. */
struct WeightStoreLimits
{
    int64_t loadsPerSecond = 3; ///< Loads started a second.
    int64_t concurrentLoads = 2; ///< Loads in progress at once.

    bool operator==(const WeightStoreLimits &) const = default;
};

}
