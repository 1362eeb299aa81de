#include "policy/firsteventestimate.h"

#include <algorithm>

namespace vanillaspar
{

namespace
{

constexpr double keptWeight = 0.99; // of older observations, for each new one
constexpr double minMillisPerToken = 0.002;
constexpr double maxMillisPerToken = 1;

}

void FirstEventEstimate::observe(double tokens, Millis elapsed)
{
    const auto millis = static_cast<double>(std::max<int64_t>(elapsed.value, 0));
    m_weight = m_weight * keptWeight + 1;
    m_tokens = m_tokens * keptWeight + tokens;
    m_elapsed = m_elapsed * keptWeight + millis;
    m_tokensSquared = m_tokensSquared * keptWeight + tokens * tokens;
    m_product = m_product * keptWeight + tokens * millis;
}

Millis FirstEventEstimate::expected(double tokens) const
{
    const double variance = m_tokensSquared - m_tokens * m_tokens / m_weight;
    const double covariance = m_product - m_tokens * m_elapsed / m_weight;
    const double slope
        = std::clamp(variance > 0 ? covariance / variance : minMillisPerToken, minMillisPerToken, maxMillisPerToken);
    const double fixed = std::max((m_elapsed - slope * m_tokens) / m_weight, 0.0);
    return Millis(static_cast<int64_t>(fixed + slope * tokens));
}

}
