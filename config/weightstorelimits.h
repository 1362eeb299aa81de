#pragma once

#include <cstdint>

namespace vanillaspar
{

/** What the weight store allows the whole fleet. */
struct WeightStoreLimits
{
    int64_t loadsPerSecond = 3;
    int64_t concurrentLoads = 2;

    bool operator==(const WeightStoreLimits &) const = default;
};

}
