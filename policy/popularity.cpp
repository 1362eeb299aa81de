#include "policy/popularity.h"

#include <cmath>

namespace vanillaspar
{

namespace
{

constexpr double halfLife = 120'000; // of a use's weight, in milliseconds
constexpr double expiredBelow = 0.01; // decayed uses below which a count is removed
constexpr Millis cleanupInterval(60'000);

double decayed(double value, Millis since, Millis now)
{
    return value * std::exp2(-static_cast<double>((now - since).value) / halfLife);
}

}

void Popularity::recordUse(const AdapterRef &adapter, Millis now)
{
    Count &count = m_counts[adapter];
    count = {decayed(count.value, count.at, now) + 1, now};
    m_total = {decayed(m_total.value, m_total.at, now) + 1, now};
    if (now - m_cleanedUpAt > cleanupInterval) {
        removeExpired(now);
    }
}

double Popularity::decayedUses(const AdapterRef &adapter, Millis now) const
{
    const auto count = m_counts.find(adapter);
    return count == m_counts.end() ? 0 : decayed(count->second.value, count->second.at, now);
}

double Popularity::totalUses(Millis now) const
{
    return decayed(m_total.value, m_total.at, now);
}

void Popularity::removeExpired(Millis now)
{
    m_cleanedUpAt = now;
    std::erase_if(m_counts, [now](const auto &entry) {
        return decayed(entry.second.value, entry.second.at, now) < expiredBelow;
    });
}

}
