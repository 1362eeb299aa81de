#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <map>
#include <set>
#include <vector>

namespace vanillaspar::serving
{

class OwnerTable;
struct DomainMember;

/**
 * For how long replicas of the owner table have been missing among those that this host knows.
 *
 * The entry of a missing replica tells that it has had an owner, for whose lease the next one has to wait. This host
 * may not know the replica yet, or the replica may return, so the entry is to be removed only after that wait.
 */
class AbsentReplicas
{
public:
    /**
     * Notes which replicas are missing; to be called regularly.
     *
     * @param table the owner table.
     * @param present replicas that this host knows.
     * @param retention how long the entry of a missing replica is kept, in milliseconds.
     * @param now current time.
     * @return replicas that have been missing at each call for longer than @p retention.
     */
    std::set<ReplicaId> update(const OwnerTable &table, const std::vector<DomainMember> &present, Millis retention,
                               Millis now);

private:
    std::map<ReplicaId, Millis> m_missingSince;
    Millis m_updatedAt {0};
};

}
