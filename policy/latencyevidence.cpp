#include "policy/latencyevidence.h"

#include <algorithm>
#include <cmath>

namespace vanillaspar
{

namespace
{

constexpr Millis fadeTime(300); // after which an observation counts a third
constexpr Millis maxAge(1000); // news older than this says nothing about the present speed
constexpr double minRatio = 0.2;
constexpr double maxRatio = 20;

double fadeFactor(Millis age)
{
    return std::exp(-static_cast<double>(std::max<int64_t>(age.value, 0)) / static_cast<double>(fadeTime.value));
}

}

LatencyEvidence::LatencyEvidence(double logRatio, double weight, Millis observedAt, Millis now)
    : m_sum(std::clamp(logRatio, std::log(minRatio), std::log(maxRatio)) * weight)
    , m_weight(weight)
    , m_fadedAt(now)
    , m_observedAt(observedAt)
{
}

void LatencyEvidence::observe(double ratio, double weight, Millis now)
{
    fade(now);
    m_sum += std::log(std::clamp(ratio, minRatio, maxRatio)) * weight;
    m_weight += weight;
    m_observedAt = now;
}

void LatencyEvidence::add(const LatencyEvidence &other, Millis now)
{
    fade(now);
    const double weight = other.weight(now);
    m_sum += other.logRatio() * weight;
    m_weight += weight;
    m_observedAt = weight > 0 ? std::max(m_observedAt, other.m_observedAt) : m_observedAt;
}

double LatencyEvidence::weight(Millis now) const
{
    return m_observedAt.value < 0 || now - m_observedAt > maxAge ? 0 : m_weight * fadeFactor(now - m_fadedAt);
}

void LatencyEvidence::fade(Millis now)
{
    const double factor = fadeFactor(now - m_fadedAt);
    m_sum *= factor;
    m_weight *= factor;
    m_fadedAt = now;
}

}
