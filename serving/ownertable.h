#pragma once

#include "core/ids.h"

#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <vector>

namespace vanillaspar::serving
{

/** Who orders the loads of one replica. */
struct OwnerEntry
{
    HostId host;
    int64_t fencingNumber = 0; ///< Rises with every change of the host.
    /** Whether another host may have ordered shortly before, so that this one must wait until that one has stopped. */
    bool isTakeover = false;
};

/** A replica that needs an owner, or a host that can be one. */
struct DomainMember
{
    std::string id;
    DomainId domain;
};

/**
 * Who orders the loads of which replica: one record in the store, written on change only.
 *
 * A host may order only while it can prove that its copy of the record is recent.
 */
class OwnerTable
{
public:
    /** @throws DecodeError if the record can't be read. */
    static OwnerTable fromJson(const nlohmann::json &content);
    nlohmann::json toJson() const;

    /** @return the entry, or nullptr. */
    const OwnerEntry *find(const ReplicaId &replica) const;
    const std::map<ReplicaId, OwnerEntry> &entries() const
    {
        return m_entries;
    }

    /**
     * Gives every replica a live owner.
     *
     * A replica without an owner or whose owner is lost goes to the live host with the fewest replicas, in its own
     * failure domain if that is even. Others stay, since a change costs the replica seconds without orders.
     *
     * @param replicas all replicas that take orders.
     * @param live hosts that can be owners.
     * @param lost hosts that have been silent for long.
     * @return whether anything changed.
     */
    bool assign(const std::vector<DomainMember> &replicas, const std::vector<DomainMember> &liveHosts,
                const std::vector<HostId> &lostHosts);

private:
    std::map<ReplicaId, OwnerEntry> m_entries;
    int64_t m_lastFencingNumber = 0; ///< The highest ever given out.
};

}
