#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace vanillaspar::serving
{

class StartLimit;
struct BackendState;

/** Where an adapter is available, as known by this host. */
struct AdapterAvailability
{
    int holders = 0; ///< Replicas where the adapter is resident, with or without capacity.
    bool hasPendingLoad = false; ///< Whether a load of the adapter is pending.
    int outdated = 0; ///< Replicas where an older version than required is resident.
};

/** Where a request can be sent now. */
struct ReplicaChoice
{
    BackendState *backend = nullptr; ///< Replica to send to; nullptr if none that could execute it has capacity.
    BackendState *loadTarget = nullptr; ///< Replica to load its adapter on; nullptr if no load is needed.
    bool hasCandidates = true; ///< Whether the pool has any replica that may take the request.
    /** When the first pause of a candidate ends, if all of them are paused; or when a cold one may get a request, if no
     * other replica can take it or load its adapter. */
    std::optional<Millis> pausedUntil;
    AdapterAvailability availability;
};

/**
 * Removes the replicas that are paused.
 *
 * @return when the first pause ends, if that leaves none of them.
 */
std::optional<Millis> removePaused(std::vector<BackendState *> &replicas, Millis now);

/** @return whether @p limit, which may be nullptr, allows no request to be started at the replica now. */
bool isBlocked(const StartLimit *limit, const BackendState &state, Millis now);

/** The replica with the lowest score among those that could take a request if its start there weren't blocked. */
class BlockedReplica
{
public:
    /** A replica with room is blocked. @param score its load with penalties. */
    void offer(const BackendState &state, double score);
    /**
     * Requests a start at the best blocked replica if it is much better than the one that was chosen, or if none was.
     *
     * @param limit that blocks it.
     * @param exchange identifies the request.
     * @param choice states how long the request has to wait, if nothing else can be done for it.
     * @param score of the chosen replica, if there is one.
     * @param now current time.
     */
    void request(StartLimit *limit, uint64_t exchange, ReplicaChoice &choice, double score, Millis now) const;
    bool isEmpty() const
    {
        return m_state == nullptr;
    }

private:
    const BackendState *m_state = nullptr;
    double m_score = 0;
};

/** Penalties that are added to a replica's load when replicas are compared; 1 is the load of a full replica. */
struct ReplicaPenalties
{
    double otherDomain = 0; ///< For another failure domain, as traffic between domains is charged.
    double failure = 0; ///< Multiplied by the failure rate, 0 to 1.
    double avoid = 0; ///< While it is temporarily avoided.

    /** @return @p load plus the penalties of a replica for a host in the domain @p own. */
    double score(double load, const BackendState &state, const DomainId &own, Millis now) const;
};

}
