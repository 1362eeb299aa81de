#include "policy/retrylimits.h"

#include <algorithm>

namespace vanillaspar
{

namespace
{

constexpr double usedPart = 0.8; // the rest is the reserve; a retry may wait for a replica and for its connection

}

RetryLimits RetryLimits::shareOf(int64_t hosts) const
{
    return {ratio * usedPart, allowance * usedPart / static_cast<double>(std::max<int64_t>(hosts, 1)), window};
}

}
