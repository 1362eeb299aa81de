#include "policy/waitestimate.h"

#include <algorithm>
#include <cmath>

namespace vanillaspar
{

namespace
{

// Time over which the rate is averaged: several loads from the weight store, yet short against callers' deadlines.
constexpr double averagingMillis = 1000;
// A queue that has not moved yet may move at this rate; it lets the first requests of a quiet host in.
constexpr double leastPerSecond = 8;
constexpr double millisPerSecond = 1000;

}

void WaitEstimate::decay(Millis now)
{
    const auto elapsed = static_cast<double>((now - m_decayedAt).value);
    m_decayedAt = now;
    if (elapsed > 0) {
        m_sent *= std::exp(-elapsed / averagingMillis);
    }
}

void WaitEstimate::onSent(Millis now)
{
    decay(now);
    m_sent += 1;
}

Millis WaitEstimate::forQueue(int64_t ahead, Millis now)
{
    decay(now);
    const double perSecond = std::max(m_sent * millisPerSecond / averagingMillis, leastPerSecond);
    return Millis(static_cast<int64_t>(static_cast<double>(ahead) / perSecond * millisPerSecond));
}

}
