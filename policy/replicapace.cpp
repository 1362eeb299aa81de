#include "policy/replicapace.h"

#include <algorithm>
#include <cmath>

namespace vanillaspar
{

namespace
{

constexpr double newestWeight = 0.2;
constexpr double minRatio = 0.5;
constexpr double maxRatio = 20;
constexpr Millis fadeTime(3000); // after which a difference that isn't observed any more has faded to a third

}

void ReplicaPace::onFirstEvent(double ratio, Millis now)
{
    const double known = factor(now);
    m_ratio = known + (std::clamp(ratio, minRatio, maxRatio) - known) * newestWeight;
    m_observedAt = now;
}

void ReplicaPace::onWaiting(double ratio, Millis now)
{
    if (ratio > factor(now)) {
        m_ratio = std::min(ratio, maxRatio);
        m_observedAt = now;
    }
}

double ReplicaPace::factor(Millis now) const
{
    const double age = static_cast<double>((now - m_observedAt).value) / static_cast<double>(fadeTime.value);
    return 1 + (m_ratio - 1) * std::exp(-std::max(age, 0.0));
}

}
