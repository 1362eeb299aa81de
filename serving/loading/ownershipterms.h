#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>

namespace vanillaspar::serving
{

class OwnerTable;

/**
 * Since when this host owns which replicas, and which of them it may order without the wait after a takeover.
 *
 * After a restore of the store the table that is read may be older than one that was in force, so that another host may
 * order until its lease expires, and may have used higher fencing numbers. Nobody starts to order by a table that was
 * written in an earlier era before the leader has confirmed it with new numbers, and every entry then counts as taken
 * over. A host goes on without a wait if it might order until it saw the new era, and the table of that era names it
 * by the same assignment: no other host can have become the owner while its lease was valid.
 */
class OwnershipTerms
{
public:
    explicit OwnershipTerms(const HostId &self) : m_self(self)
    {
    }

    /**
     * Applies a table that was read from the store.
     *
     * @param era of the store in which it was read.
     * @param mayOrder tells whether this host might order a replica up to now.
     * @return replicas that this host might order and no longer may because the era changed.
     */
    std::set<ReplicaId> onTable(const OwnerTable &table, int64_t era, Millis now,
                                const std::function<bool(const ReplicaId &)> &mayOrder);

    /** @return whether this host owns no replica. */
    bool isEmpty() const
    {
        return m_terms.empty();
    }
    /**
     * @param wait after a takeover, in milliseconds.
     * @return whether the previous owner's lease has expired, as far as this host has to wait for it.
     */
    bool hasBegun(const OwnerTable &table, const ReplicaId &replica, Millis wait, Millis now) const;
    /**
     * @return the fencing number for orders of this host: the table's, or the one by which it has ordered already if
     * that is higher, as the table may have come back from a copy; nothing if this host doesn't own the replica.
     */
    std::optional<Epoch> fencingNumber(const ReplicaId &replica) const;
    /** @return since when this host has owned the replica, as far as it knows; nothing if it doesn't. */
    std::optional<Millis> ownedSince(const ReplicaId &replica) const;

private:
    /** This host's ownership of a replica. */
    struct Term
    {
        Epoch assignedAs; ///< OwnerEntry::assignedAs.
        Epoch fencingNumber; ///< The highest of any table with this assignment.
        Millis since; ///< When this host first saw itself as the owner.
        bool isContinued = false; ///< Whether it goes on ordering across a change of the era.
    };

    HostId m_self;
    std::map<ReplicaId, Term> m_terms;
    int64_t m_era = 0;
};

}
