#include "policy/latencybaseline.h"

#include <algorithm>
#include <cmath>

namespace vanillaspar
{

namespace
{

constexpr int64_t coveredRequests = 50;
constexpr double halfConfidence = 3; // requests after which an expectation counts half
constexpr double minMillis = 0.5; // the clock counts whole milliseconds

}

void LatencyBaseline::observe(double millis)
{
    m_count = std::min(m_count + 1, coveredRequests);
    m_logMean += (std::log(std::max(millis, minMillis)) - m_logMean) / static_cast<double>(m_count);
}

double LatencyBaseline::expected() const
{
    return m_count == 0 ? 0 : std::exp(m_logMean);
}

double LatencyBaseline::confidence() const
{
    const auto count = static_cast<double>(m_count);
    return count / (count + halfConfidence);
}

}
