#include "policy/waitestimate.h"

#include <cmath>

namespace vanillaspar
{

namespace
{

// Time over which the rate is averaged: several loads from the weight store, yet short against callers' deadlines.
constexpr double averagingMillis = 1000;
// What is assumed before anything was measured, and how long a measurement outweighs it: 30 requests a second is what
// one of six hosts sends on after loads on the users' sites.
constexpr double assumedPerMilli = 0.03;
constexpr double assumedMillis = 50;

}

void WaitEstimate::observe(bool isBehind, Millis now)
{
    const auto elapsed = static_cast<double>((now - m_observedAt).value);
    m_observedAt = now;
    if (elapsed > 0) {
        const double kept = std::exp(-elapsed / averagingMillis);
        m_sent *= kept;
        m_behind *= kept;
        if (m_isBehind) {
            m_behind += averagingMillis * (1 - kept);
        }
    }
    m_isBehind = isBehind;
}

void WaitEstimate::onSent()
{
    m_sent += 1;
}

Millis WaitEstimate::forQueue(int64_t ahead) const
{
    const double perMilli = (m_sent + assumedPerMilli * assumedMillis) / (m_behind + assumedMillis);
    return Millis(static_cast<int64_t>(static_cast<double>(ahead) / perMilli));
}

}
