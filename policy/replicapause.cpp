#include "policy/replicapause.h"

#include <algorithm>

namespace vanillaspar
{

namespace
{

constexpr Millis longestPause(24LL * 3600 * 1000); // so that no value of a faulty replica overflows
constexpr Millis sendTime(20); // from the end of the wait to the arrival at the replica
constexpr Millis minReturnSpan(300); // over which refused callers return
constexpr double returnSpanPart = 0.5; // of the rest of the pause

}

void ReplicaPause::extend(Millis duration, Millis now)
{
    m_end = std::max(m_end, now + std::clamp(duration, Millis(0), longestPause));
}

PausedPlacement placeDuringPause(Millis pauseEnd, Millis waitDeadline, double spread, Millis now)
{
    if (pauseEnd + sendTime < waitDeadline) {
        return {true, Millis(0)};
    }
    const Millis rest = pauseEnd - now;
    return {false, rest + std::max(minReturnSpan, rest * returnSpanPart) * spread};
}

}
