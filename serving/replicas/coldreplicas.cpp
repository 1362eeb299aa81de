#include "serving/replicas/coldreplicas.h"

#include "cluster/messages/limits.h"

#include <algorithm>

namespace vanillaspar::serving
{

bool ColdReplicas::onEntry(uint32_t replica, Millis left, bool isKnown, Millis now)
{
    if (left.value <= 0) {
        m_periods.erase(replica);
        return false;
    }
    const bool wasCold = isCold(replica, now);
    Period &period = m_periods[replica];
    period.until = now + left;
    if (!wasCold) {
        period.turnedAt = isKnown ? now : Millis(INT64_MIN / 2);
    }
    return !wasCold;
}

bool ColdReplicas::onReport(const ColdReplicaReport &report, Millis now)
{
    const bool wasCold = isCold(report.replica, now);
    Period &period = m_periods[report.replica];
    period.until = std::max(period.until, now + Millis(report.leftMs));
    if (!wasCold) {
        period.turnedAt = now;
    }
    return !wasCold;
}

bool ColdReplicas::isCold(uint32_t replica, Millis now) const
{
    const auto period = m_periods.find(replica);
    return period != m_periods.end() && now < period->second.until;
}

bool ColdReplicas::hasTurnedWithin(uint32_t replica, Millis duration, Millis now) const
{
    const auto period = m_periods.find(replica);
    return period != m_periods.end() && now - period->second.turnedAt < duration;
}

std::vector<ColdReplicaReport> ColdReplicas::report(Millis now)
{
    std::erase_if(m_periods, [now](const auto &entry) {
        return now >= entry.second.until;
    });
    std::vector<ColdReplicaReport> reports;
    reports.reserve(m_periods.size());
    for (const auto &[replica, period] : m_periods) {
        const int64_t left = std::min<int64_t>((period.until - now).value, UINT32_MAX);
        reports.push_back({replica, static_cast<uint32_t>(left)});
    }
    return reports;
}

}
