#include "policy/coldbudget.h"

#include <algorithm>

namespace vanillaspar
{

namespace
{

constexpr double permitPart = 0.75; // of the limit; the rest is for hosts without contact to the owner
// Hosts with different views of the membership may consider different hosts the holders of the shares.
constexpr int64_t membershipViews = 2;

}

ColdBudget ColdBudget::of(double coldPerSecond, double overshoot, double slack)
{
    constexpr double largest = 1000000; // requests per second, so that no configuration overflows
    const auto limit = static_cast<int64_t>(std::clamp(coldPerSecond * overshoot + slack, 0.0, largest));
    const auto permits = static_cast<int64_t>(static_cast<double>(limit) * permitPart);
    return {permits, (limit - permits) / membershipViews};
}

}
