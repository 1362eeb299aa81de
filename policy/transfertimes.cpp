#include "policy/transfertimes.h"

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

}

void TransferTimes::onCompleted(Millis took)
{
    if (took < expected() * memoryLoadFraction) {
        return; // from the replica's own memory
    }
    const auto millis = static_cast<double>(took.value);
    m_average = m_average <= 0 ? millis : m_average + (millis - m_average) * newestWeight;
}

Millis TransferTimes::expected() const
{
    return m_average <= 0 ? initialGuess : Millis(static_cast<int64_t>(m_average));
}

Millis TransferTimes::nextCheckAge(Millis age) const
{
    const Millis earlyCheck = expected() * earlyCheckFraction;
    if (age < earlyCheck) {
        return earlyCheck;
    }
    const Millis firstCheck = expected() * firstCheckFraction;
    if (age < firstCheck) {
        return firstCheck;
    }
    return age + std::max(minRecheckInterval, age * recheckFraction);
}

}
