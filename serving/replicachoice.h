#pragma once

#include "core/ids.h"
#include "core/units.h"

namespace vanillaspar::serving
{

struct BackendState;

/** Why an adapter's replicas could not take a request, as otherDomain as they are known here. */
struct AdapterAvailability
{
    int holders = 0; ///< Replicas that hold the adapter, with or without room.
    bool hasPendingLoad = false; ///< Whether the adapter is being loaded somewhere.
};

/** Where a request can go now. */
struct ReplicaChoice
{
    BackendState *backend = nullptr; ///< Send it there; nullptr if no replica that could run it has room.
    BackendState *loadTarget = nullptr; ///< Ask for its adapter there; nullptr if that would not help.
    bool hasCandidates = true; ///< Whether any replica of the pool may get work at all.
    AdapterAvailability availability;
};

/** What makes a replica a worse choice than its load says, in parts of a full replica. */
struct ReplicaPenalties
{
    double otherDomain = 0; ///< It is in another failure domain; bytes between them are priced.
    double failure = 0; ///< For each part of its requests that it fails.
    double avoid = 0; ///< It is being excluded.

    /** @return the load with the penalties of a replica, seen from @p own domain. */
    double score(double load, const BackendState &state, const DomainId &own, Millis now) const;
};

}
