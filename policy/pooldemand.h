#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <cstdint>
#include <limits>
#include <map>
#include <set>

namespace vanillaspar
{

/** What one or several hosts want of a pool. */
struct PoolDemand
{
    std::map<int, int64_t> waiting; ///< Requests that wait for capacity and can still be in time, by urgency level.
    int64_t sends = 0; ///< Requests sent in the last two intervals of 100 ms.

    PoolDemand &operator+=(const PoolDemand &other);
    /** @return number of waiting requests of all levels. */
    int64_t waitingCount() const;
    /**
     * @param freeSlots of the pool's replicas.
     * @return the least urgent level of which requests may be sent now. All more urgent levels that wait fit into the
     *     free slots and into what the pool is expected to take until the next report.
     */
    int threshold(int64_t freeSlots) const;

    static constexpr int noThreshold = std::numeric_limits<int>::max(); ///< Every level may be sent.
};

using PoolDemands = std::map<uint32_t, PoolDemand>; ///< By the short hash of the pool's id.

/** The demands that other hosts reported lately. Old reports count for nothing. */
class DemandReports
{
public:
    /** Replaces the report of a host. */
    void set(const HostId &from, PoolDemands demands, Millis now);
    /** @return the sum of all reports that are recent at @p now, without that of @p except. */
    PoolDemands sum(Millis now, const HostId &except = {}) const;
    /** @return the sum of the recent reports of @p hosts. */
    PoolDemands sumOf(const std::set<HostId> &hosts, Millis now) const;
    /** Removes all reports but those of @p from. */
    void keepOnly(const HostId &from);

private:
    struct Report
    {
        PoolDemands demands;
        Millis at;
    };

    static bool isRecent(const Report &report, Millis now);

    std::map<HostId, Report> m_reports;
};

/** Adds @p other to @p sum. */
void addDemands(PoolDemands &sum, const PoolDemands &other);

}
