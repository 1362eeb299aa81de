#include "serving/loading/absentreplicas.h"

#include "serving/loading/ownertable.h"

namespace vanillaspar::serving
{

namespace
{

// A host that hasn't looked for so long, as another one led, doesn't know whether a replica was there meanwhile.
constexpr Millis longestGap(3000);

}

std::set<ReplicaId> AbsentReplicas::update(const OwnerTable &table, const std::vector<DomainMember> &present,
                                           Millis retention, Millis now)
{
    std::map<ReplicaId, Millis> missingSince;
    for (const auto &[replica, entry] : table.entries()) {
        missingSince.emplace(replica, now);
    }
    for (const DomainMember &replica : present) {
        missingSince.erase(ReplicaId(replica.id));
    }
    std::set<ReplicaId> removable;
    for (auto &[replica, since] : missingSince) {
        const auto known = m_missingSince.find(replica);
        if (known != m_missingSince.end() && now - m_updatedAt <= longestGap) {
            since = known->second;
        }
        if (now - since > retention) {
            removable.insert(replica);
        }
    }
    m_missingSince = std::move(missingSince);
    m_updatedAt = now;
    return removable;
}

}
