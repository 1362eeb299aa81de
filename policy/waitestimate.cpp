#include "policy/waitestimate.h"

#include <cmath>

namespace vanillaspar
{

namespace
{

// Averaging time of the rate: several loads from the weight store, yet short compared to callers' deadlines.
constexpr double averagingMillis = 1000;
// Initial rate, and the backlogged time whose observations have the same weight. In a fleet of six hosts, each sends
// about 30 requests per second that waited for a load.
constexpr double priorSentPerMilli = 0.03;
constexpr double priorMillis = 50;

}

void WaitEstimate::observe(bool isBacklogged, Millis now)
{
    const auto elapsed = static_cast<double>((now - m_observedAt).value);
    m_observedAt = now;
    if (elapsed > 0) {
        const double kept = std::exp(-elapsed / averagingMillis);
        m_sent *= kept;
        m_backloggedTime *= kept;
        if (m_isBacklogged) {
            m_backloggedTime += averagingMillis * (1 - kept);
        }
    }
    m_isBacklogged = isBacklogged;
}

void WaitEstimate::onSent()
{
    m_sent += 1;
}

Millis WaitEstimate::expectedWait(int64_t ahead) const
{
    const double sentPerMilli = (m_sent + priorSentPerMilli * priorMillis) / (m_backloggedTime + priorMillis);
    return Millis(static_cast<int64_t>(static_cast<double>(ahead) / sentPerMilli));
}

}
