#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <cstdint>
#include <map>
#include <vector>

namespace vanillaspar
{
struct ColdReplicaReport;
}

namespace vanillaspar::serving
{

/**
 * Which replicas are cold, when they became so and until when, by their entries and by other hosts' reports.
 *
 * Replicas are named by short hashes: a report may arrive before the entry that it is about. A report only lengthens
 * the time, as it may be older than this host's entry.
 */
class ColdReplicas
{
public:
    /**
     * The entry of a replica was read.
     *
     * @param replica short hash of its id.
     * @param left how long it is cold; 0 or less if it isn't.
     * @param isKnown whether this host may have sent it requests before.
     * @param now current time.
     * @return whether it became cold.
     */
    bool onEntry(uint32_t replica, Millis left, bool isKnown, Millis now);
    /** Another host reported a replica as cold. @return whether this host didn't know. */
    bool onReport(const ColdReplicaReport &report, Millis now);
    /** @return whether a replica is cold. */
    bool isCold(uint32_t replica, Millis now) const;
    /** @return whether a replica became cold within @p duration while other hosts may still have considered it warm. */
    bool hasTurnedWithin(uint32_t replica, Millis duration, Millis now) const;
    /** @return the replicas that are cold, to report to other hosts. */
    std::vector<ColdReplicaReport> report(Millis now);

private:
    struct Period
    {
        Millis until {0};
        Millis turnedAt {INT64_MIN / 2}; ///< When it became cold after requests may have been sent to it.
    };

    std::map<uint32_t, Period> m_periods;
};

}
