#pragma once

#include "core/ids.h"
#include "core/recentnames.h"
#include "core/units.h"
#include "serving/interfaces/backend.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace vanillaspar
{
struct ResidencyReport;
}

namespace vanillaspar::serving
{

/** An adapter that is resident in a replica, as far as this host knows. */
struct AdapterResidency
{
    int64_t version = 0;
    Millis readyAt; ///< When the adapter can be used.
    Millis pausedUntil {0}; ///< Until then no request is sent, as the replica has just refused one.

    /** @return whether requests for the adapter may be sent. */
    bool isUsable(Millis now) const
    {
        return readyAt <= now && pausedUntil <= now;
    }
};

/** The adapter slots of a replica that are in use. */
struct AdapterSlotUse
{
    int64_t resident = 0; ///< Adapters, those being loaded included.
    int64_t loading = 0; ///< Adapters being loaded.
};

/**
 * Tracks which weights are resident in which replica.
 *
 * Reports of a replica's owner, the host that orders its loads, take precedence over service discovery, which lags by
 * seconds.
 */
class ResidencyMap
{
public:
    /** Applies what service discovery lists, unless the owner has reported on this incarnation recently. */
    void onDiscovered(const Backend &backend, Millis now);
    /** Applies what service discovery listed meanwhile, where the owner has fallen silent. */
    void tick(Millis now);
    /**
     * Applies a report of the replica's owner.
     *
     * @param report the complete residency of one replica.
     * @param now arrival of the report.
     * @return whether it was applied, that is, it is newer than the last one that was.
     */
    bool onResidencyReport(const ResidencyReport &report, Millis now);
    /** Removes an adapter after the replica answered that it is not resident. */
    void onNotResident(const ReplicaId &replica, const std::string &weights);
    /**
     * Sends no request for an adapter to a replica that has just refused one, for a short time.
     *
     * @param replica the replica that refused the request.
     * @param weights "model/adapter".
     * @param until when requests may be sent again.
     */
    void pause(const ReplicaId &replica, const std::string &weights, Millis until);
    /** Removes a replica and everything resident in it. */
    void remove(const ReplicaId &replica);

    /**
     * Looks up an adapter in one replica.
     *
     * @param replica the replica to look in.
     * @param weights "model/adapter", or "model" for a base model.
     * @return its residency, or nullptr if it isn't resident there.
     */
    const AdapterResidency *find(const ReplicaId &replica, const std::string &weights) const;
    /**
     * @return whether the adapter was evicted from the replica lately, so that the replica probably keeps a copy in its
     *     own memory and loads it much faster than others.
     */
    bool wasHeldLately(const ReplicaId &replica, const std::string &weights) const;
    /** @return how many of a replica's adapter slots are in use, by the last report. */
    AdapterSlotUse slotUse(const ReplicaId &replica, Millis now) const;
    /** @return the replicas in which the adapter is resident or being loaded. */
    const std::map<ReplicaId, AdapterResidency> &holders(const std::string &weights) const;

private:
    /** Evicted adapters that a replica keeps in its own memory at least. */
    static constexpr size_t evictedCount = 40;

    struct Replica
    {
        int64_t incarnation = 0; ///< Start time of the replica's incarnation.
        HostId reportedBy;
        uint64_t reportSequence = 0;
        Millis reportedAt {-1}; ///< Arrival of the last report on this incarnation; negative if there was none.
        std::optional<EngineResidency> listed; ///< By service discovery, while the owner's report takes precedence.
        std::vector<std::string> weights;
        RecentNames evicted {evictedCount}; ///< Adapters evicted lately.
    };

    void applyListed(const ReplicaId &id, Replica &replica, const EngineResidency &listed, Millis now);
    /** Replaces everything that is resident in a replica. */
    void replace(const ReplicaId &id, Replica &replica, const std::map<std::string, AdapterResidency> &held);

    std::map<ReplicaId, Replica> m_replicas;
    std::unordered_map<std::string, std::map<ReplicaId, AdapterResidency>> m_holders;
};

}
