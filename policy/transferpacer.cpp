#include "policy/transferpacer.h"

#include <algorithm>

namespace vanillaspar
{

namespace
{

constexpr Millis initialDuration(250);
constexpr double newestWeight = 0.15;
// Of the expected time. A load from the replica's own memory is complete at the early check.
constexpr double earlyCheckFraction = 0.13;
constexpr double memoryLoadFraction = 0.3;
constexpr double firstCheckFraction = 0.9;
constexpr double shortFraction = 0.6; // of the fastest time
constexpr int minShortInRow = 8;
constexpr double earlierCheckFactor = 0.85;
constexpr double recheckFraction = 0.08; // of the load's age
constexpr double firstRecheckFraction = 0.15; // before the first completed load
constexpr Millis minRecheckInterval(10);
// The store may have become slower for good, so the fastest time is raised a little now and then.
constexpr Millis fastestRaiseInterval(15000);
constexpr double fastestRaise = 1.03;
// Longest time between the last two answers on a load whose duration is used, and that as a part of the duration.
constexpr Millis minUncertainty(40);
constexpr double maxUncertainty = 0.15;
// Multiples of the fastest time. Durations are known only to within the interval of the checks.
constexpr double fullSpeedFactor = 1.15;
constexpr double slowedFactor = 1.35;
constexpr double firstGrowth = 1; // for each transfer at full speed, until one is slowed
constexpr double limitGrowth = 0.5; // later, divided by the limit
constexpr double limitReduction = 0.3;
constexpr double minLimit = 1;

}

void TransferPacer::onCompleted(Millis incompleteAt, Millis completeAt, Millis now)
{
    const bool isKnownWell = completeAt - incompleteAt <= std::max(completeAt * maxUncertainty, minUncertainty);
    const bool isFromMemory = m_average > 0 ? completeAt < expected() * memoryLoadFraction : incompleteAt.value == 0;
    if (isFromMemory) {
        return;
    }
    if (!isKnownWell) {
        m_checkFrom *= earlierCheckFactor; // the store may have become faster
        return;
    }
    const auto millis = static_cast<double>(completeAt.value);
    // One much shorter load probably came from the replica's own memory. Several in a row tell of a faster store.
    m_shortInRow = millis < m_fastest * shortFraction ? m_shortInRow + 1 : 0;
    if (m_shortInRow > 0 && m_shortInRow < minShortInRow) {
        return;
    }
    m_average = m_average <= 0 ? millis : m_average + (millis - m_average) * newestWeight;
    if (m_fastest <= 0 || millis < m_fastest) {
        m_fastest = millis;
        m_fastestAt = now;
    } else if (now - m_fastestAt >= fastestRaiseInterval) {
        m_fastest *= fastestRaise;
        m_fastestAt = now;
    }
    m_checkFrom = m_fastest * firstCheckFraction;
    updateLimit(millis);
}

void TransferPacer::updateLimit(double millis)
{
    if (millis > m_fastest * slowedFactor) {
        m_limit = std::max(m_limit - limitReduction, minLimit);
        m_wasSlowed = true;
    } else if (m_wasLimited && millis <= m_fastest * fullSpeedFactor) {
        m_limit += m_wasSlowed ? limitGrowth / m_limit : firstGrowth;
        m_wasLimited = false;
    }
}

bool TransferPacer::mayStart(int64_t underWay)
{
    const bool isAllowed = static_cast<double>(underWay) < m_limit;
    m_wasLimited = m_wasLimited || !isAllowed;
    return isAllowed;
}

Millis TransferPacer::expected() const
{
    return m_average <= 0 ? initialDuration : Millis(static_cast<int64_t>(m_average));
}

Millis TransferPacer::nextCheckAge(Millis age) const
{
    const Millis earlyCheck = expected() * earlyCheckFraction;
    if (age < earlyCheck) {
        return earlyCheck;
    }
    const auto firstCheck = Millis(static_cast<int64_t>(m_checkFrom));
    if (age < firstCheck) {
        return firstCheck;
    }
    return age + std::max(minRecheckInterval, age * (m_average > 0 ? recheckFraction : firstRecheckFraction));
}

}
