#include "policy/pooldemand.h"

namespace vanillaspar
{

namespace
{

// Reports are sent every 100 ms; one or two may be lost. The queues of a shortage change within a few such intervals.
constexpr Millis maxReportAge(300);
// Sends are counted over 200 ms. Requests that are served in 50 ms, the mean time until the next report, need no
// protection.
constexpr int64_t sendsDivisor = 4;

}

PoolDemand &PoolDemand::operator+=(const PoolDemand &other)
{
    for (const auto &[level, count] : other.waiting) {
        waiting[level] += count;
    }
    sends += other.sends;
    return *this;
}

int64_t PoolDemand::waitingCount() const
{
    int64_t count = 0;
    for (const auto &[level, number] : waiting) {
        count += number;
    }
    return count;
}

int PoolDemand::threshold(int64_t freeSlots) const
{
    const int64_t capacity = freeSlots + sends / sendsDivisor;
    int64_t wanted = 0;
    for (const auto &[level, count] : waiting) {
        wanted += count;
        if (wanted > capacity) {
            return level;
        }
    }
    return noThreshold;
}

void addDemands(PoolDemands &sum, const PoolDemands &other)
{
    for (const auto &[pool, demand] : other) {
        sum[pool] += demand;
    }
}

bool DemandReports::isRecent(const Report &report, Millis now)
{
    return now - report.at <= maxReportAge;
}

void DemandReports::set(const HostId &from, PoolDemands demands, Millis now)
{
    m_reports[from] = {std::move(demands), now};
    std::erase_if(m_reports, [now](const auto &entry) {
        return !isRecent(entry.second, now);
    });
}

PoolDemands DemandReports::sum(Millis now, const HostId &except) const
{
    PoolDemands total;
    for (const auto &[host, report] : m_reports) {
        if (host != except && isRecent(report, now)) {
            addDemands(total, report.demands);
        }
    }
    return total;
}

PoolDemands DemandReports::sumOf(const std::set<HostId> &hosts, Millis now) const
{
    PoolDemands total;
    for (const HostId &host : hosts) {
        const auto report = m_reports.find(host);
        if (report != m_reports.end() && isRecent(report->second, now)) {
            addDemands(total, report->second.demands);
        }
    }
    return total;
}

void DemandReports::keepOnly(const HostId &from)
{
    std::erase_if(m_reports, [&](const auto &entry) {
        return entry.first != from;
    });
}

}
