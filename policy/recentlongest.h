#pragma once

#include "core/units.h"

namespace vanillaspar
{

/** The longest of the durations that were observed lately. */
class RecentLongest
{
public:
    void observe(Millis duration, Millis now);
    /** @return the longest one of the last 30 s to a minute; nothing observed counts as 0. */
    Millis value(Millis now) const;

private:
    Millis m_current {0};
    Millis m_previous {0};
    Millis m_periodStart {0};
};

}
