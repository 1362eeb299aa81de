#include "policy/transferpacer.h"

#include <algorithm>

namespace vanillaspar
{

namespace
{

constexpr Millis initialGuess(250);
constexpr double newestWeight = 0.15;
// Of the expected time. A load from the replica's own memory is complete at the early check.
constexpr double earlyCheckFraction = 0.13;
constexpr double memoryLoadFraction = 0.3;
constexpr double firstCheckFraction = 0.9;
constexpr double recheckFraction = 0.08; // of the load's age
constexpr Millis minRecheckInterval(10);
constexpr Millis fastestWindow(15000);
// Longest time between the last two answers on a load whose duration is used, and that as a part of the duration.
constexpr Millis minUncertainty(40);
constexpr double maxUncertainty = 0.15;
// Multiples of the fastest time. Durations are known only to within the interval of the checks.
constexpr double fullSpeedFactor = 1.15;
constexpr double slowedFactor = 1.35;
constexpr double limitGrowth = 0.5; // divided by the limit, for each transfer at full speed
constexpr double limitReduction = 0.3;
constexpr double minLimit = 1;

}

Millis TransferPacer::fastest() const
{
    if (m_fastest.value == 0 || m_previousFastest.value == 0) {
        return std::max(m_fastest, m_previousFastest);
    }
    return std::min(m_fastest, m_previousFastest);
}

void TransferPacer::onCompleted(Millis incompleteAt, Millis completeAt, Millis now)
{
    const Millis took = completeAt;
    const bool isKnownWell = completeAt - incompleteAt <= std::max(completeAt * maxUncertainty, minUncertainty);
    if (completeAt < expected() * memoryLoadFraction || !isKnownWell) {
        return;
    }
    const auto millis = static_cast<double>(took.value);
    m_average = m_average <= 0 ? millis : m_average + (millis - m_average) * newestWeight;
    if (now - m_windowStart >= fastestWindow) {
        m_windowStart = now;
        m_previousFastest = m_fastest;
        m_fastest = Millis(0);
    }
    m_fastest = m_fastest.value == 0 ? took : std::min(m_fastest, took);
    if (took > fastest() * slowedFactor) {
        m_limit = std::max(m_limit - limitReduction, minLimit);
    } else if (m_wasLimited && took <= fastest() * fullSpeedFactor) {
        m_limit += limitGrowth / m_limit;
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
    return m_average <= 0 ? initialGuess : Millis(static_cast<int64_t>(m_average));
}

Millis TransferPacer::nextCheckAge(Millis age) const
{
    const Millis earlyCheck = expected() * earlyCheckFraction;
    if (age < earlyCheck) {
        return earlyCheck;
    }
    const Millis firstCheck = std::min(expected(), std::max(fastest(), earlyCheck)) * firstCheckFraction;
    if (age < firstCheck) {
        return firstCheck;
    }
    return age + std::max(minRecheckInterval, age * recheckFraction);
}

}
