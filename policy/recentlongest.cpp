#include "policy/recentlongest.h"

#include <algorithm>

namespace vanillaspar
{

namespace
{

constexpr Millis period(30000);

}

void RecentLongest::observe(Millis duration, Millis now)
{
    if (now - m_periodStart >= period) {
        m_previous = now - m_periodStart < period * 2 ? m_current : Millis(0);
        m_current = Millis(0);
        m_periodStart = now;
    }
    m_current = std::max(m_current, duration);
}

Millis RecentLongest::value(Millis now) const
{
    const Millis age = now - m_periodStart;
    if (age >= period * 2) {
        return Millis(0);
    }
    return age >= period ? m_current : std::max(m_current, m_previous);
}

}
