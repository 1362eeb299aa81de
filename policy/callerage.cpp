#include "policy/callerage.h"

namespace vanillaspar
{

namespace
{

constexpr double keptWeight = 0.97; // of older requests, for each new one
constexpr double forgottenCount = 0.05;
constexpr double frequentFraction = 0.1; // of recent requests

}

Millis CallerAge::observe(Millis timeout)
{
    m_total = m_total * keptWeight + 1;
    for (auto entry = m_timeouts.begin(); entry != m_timeouts.end();) {
        entry->second *= keptWeight;
        entry = entry->second < forgottenCount ? m_timeouts.erase(entry) : std::next(entry);
    }
    m_timeouts[timeout] += 1;
    for (auto entry = m_timeouts.lower_bound(timeout); entry != m_timeouts.end(); ++entry) {
        if (entry->second >= m_total * frequentFraction) {
            return entry->first - timeout;
        }
    }
    return Millis(0);
}

}
