#include "policy/stopschedule.h"

namespace vanillaspar
{

namespace
{

// For the last responses to reach their callers.
constexpr Millis endLead(600);
// Callers have a new address list by then; before, a refused one may come back to this host.
constexpr Millis openTime(2800);
constexpr double usualMargin = 1.25;

}

StopSchedule::StopSchedule(Millis startedAt, Millis grace) : m_start(startedAt), m_end(startedAt + grace - endLead)
{
}

bool StopSchedule::takes(Millis limit, Millis usual, Millis now) const
{
    if (now + limit <= m_end) {
        return true;
    }
    return now - m_start <= openTime && now + usual * usualMargin <= m_end;
}

}
