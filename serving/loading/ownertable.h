#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <set>
#include <vector>

namespace vanillaspar::serving
{

struct StorePosition;

/** The host that owns one replica, that is, the only one that may order its loads and unloads. */
struct OwnerEntry
{
    HostId host;
    Epoch fencingNumber; ///< Sent with each order. Increases with every change of the owner and every new era.
    Epoch assignedAs; ///< The fencing number with which the host became the owner; a new era doesn't change it.
    /** Whether the replica had another owner before, which may still send orders until its lease has expired. */
    bool isTakeover = false;
};

/** A replica that needs an owner, or a host that can be an owner, with its failure domain. */
struct DomainMember
{
    std::string id; ///< Of the replica or host.
    DomainId domain;
};

/**
 * Maps each replica to the host that orders its loads. It is kept as one record in the store, written on change only.
 *
 * A host may send orders only while its copy of the record is known to be fresh.
 */
class OwnerTable
{
public:
    /**
     * Decodes the table.
     *
     * @param content the record as toJson() encodes it.
     * @throws DecodeError if a field is missing or has the wrong type.
     */
    static OwnerTable fromJson(const nlohmann::json &content);
    nlohmann::json toJson() const;

    /** @return the entry of the replica, or nullptr if it has no owner. */
    const OwnerEntry *find(const ReplicaId &replica) const;
    const std::map<ReplicaId, OwnerEntry> &entries() const
    {
        return m_entries;
    }

    /**
     * Assigns an owner to every replica that has none or whose owner is lost.
     *
     * The new owner is the live host with the fewest replicas; ties go to a host in the replica's failure domain. Other
     * replicas keep their owner, since a change leaves a replica without orders for seconds. Entries of replicas that
     * aren't in @p replicas stay.
     *
     * @param number nextFencingNumber() at the position at which the table is replaced.
     * @param replicas all replicas that take orders.
     * @param liveHosts hosts that can be owners; if empty, nothing changes.
     * @param lostHosts hosts that have been silent for too long to stay owners.
     * @param isEachTakeover whether replicas without an entry may have an owner that isn't known.
     * @return whether the table changed.
     */
    bool assign(Epoch number, const std::vector<DomainMember> &replicas, const std::vector<DomainMember> &liveHosts,
                const std::vector<HostId> &lostHosts, bool isEachTakeover = false);
    /** Removes the entries of replicas. */
    void remove(const std::set<ReplicaId> &replicas);
    /**
     * Confirms a table of an earlier era: every owner stays, counts as having taken over, and gets a new fencing
     * number, as a table that was lost may have issued higher ones than this one has.
     *
     * @param era of the store.
     * @param number nextFencingNumber() at a position of that era.
     * @return whether the table changed.
     */
    bool confirm(int64_t era, Epoch number);
    /**
     * Returns the fencing number for the next change of the table.
     *
     * It needs no memory of earlier numbers: it follows from the store's position, which is higher for each table than
     * for all tables before, those that a restore of the store lost included.
     *
     * @param newest the newest position of the store that is known; not older than the table's.
     */
    Epoch nextFencingNumber(StorePosition newest) const;
    /** @return the era of the store in which the table was written. */
    int64_t era() const
    {
        return m_era;
    }
    /** @return the highest fencing number issued so far. */
    Epoch lastFencingNumber() const
    {
        return m_lastFencingNumber;
    }

private:
    std::map<ReplicaId, OwnerEntry> m_entries;
    int64_t m_era = 0;
    Epoch m_lastFencingNumber;
};

}
