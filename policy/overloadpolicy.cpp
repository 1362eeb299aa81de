#include "policy/overloadpolicy.h"

#include <algorithm>
#include <tuple>

namespace vanillaspar
{

namespace
{

constexpr int levelsPerPriority = 2;
constexpr int64_t longObjectiveRatio = 3; // to the shortest objective of the pool
constexpr Millis minDrainTime(300); // about the time in which a batch completes a few of its requests
constexpr Millis maxDrainTime(5000); // the estimate is vague beyond, and bursts end sooner
constexpr double returnSpanPart = 1.0; // callers return over as long a time as the queue takes

}

int OverloadPolicy::levelOf(int priority, Millis objective, Millis shortest, Millis slack)
{
    const bool yields = objective >= shortest * longObjectiveRatio && slack > shortest;
    return std::max(priority, 0) * levelsPerPriority + (yields ? 1 : 0);
}

bool OverloadPolicy::canBeInTime(const WaitingWork &work, Millis wait, Millis now)
{
    return work.hasBegun || now + wait + work.serviceTime <= work.lateAfter;
}

bool OverloadPolicy::isBefore(const WaitingWork &first, const WaitingWork &second, Millis now)
{
    const auto key = [now](const WaitingWork &work) {
        const bool isLate = !work.isOwed && !canBeInTime(work, Millis(0), now);
        return std::make_tuple(!work.isOwed, isLate, work.level, work.lateAfter.value, work.id);
    };
    return key(first) < key(second);
}

void OverloadPolicy::sort(std::vector<WaitingWork> &works, Millis now)
{
    std::sort(works.begin(), works.end(), [now](const WaitingWork &first, const WaitingWork &second) {
        return isBefore(first, second, now);
    });
}

Millis OverloadPolicy::retryAfter(Millis drainTime, double spread)
{
    const Millis base = std::clamp(drainTime, minDrainTime, maxDrainTime);
    return base + base * (returnSpanPart * spread);
}

}
