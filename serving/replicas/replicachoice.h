#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <optional>
#include <vector>

namespace vanillaspar::serving
{

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
    /** When the first pause of a candidate ends, if all of them are paused. */
    std::optional<Millis> pausedUntil;
    AdapterAvailability availability;
};

/**
 * Removes the replicas that are paused.
 *
 * @return when the first pause ends, if that leaves none of them.
 */
std::optional<Millis> removePaused(std::vector<BackendState *> &replicas, Millis now);

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
