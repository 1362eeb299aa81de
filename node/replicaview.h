#pragma once

#include "core/ids.h"
#include "node/ownerref.h"
#include "policy/placement.h"

#include <string>
#include <vector>

namespace vanillaspar
{

/** What a gateway needs to know about the replicas of all hosts to choose one for a request. */
class ReplicaView
{
public:
    virtual ~ReplicaView() = default;

    /** @return the replicas of @p pool that can take new requests now. */
    virtual std::vector<Candidate> candidates(const PoolId &pool) const = 0;
    /** @return the replica's owner; its address is empty if the replica has no owner. */
    virtual OwnerRef ownerOf(const ReplicaId &replica) const = 0;
    /** @return the owner's address for callers; empty if the replica has no owner or the owner is leaving. */
    virtual std::string callerAddressOf(const ReplicaId &replica) const = 0;
    /** @return the caller addresses of all hosts that accept new callers. */
    virtual std::vector<std::string> callerAddresses() const = 0;
    /** @return whether the owner has ended or restarted, or has been silent for too long. */
    virtual bool isLost(const OwnerRef &owner) const = 0;
    /**
     * Counts this host's requests to a replica.
     *
     * @param change 1 when a request is sent, -1 when it ends.
     */
    virtual void noteDispatch(const ReplicaId &replica, int change) = 0;
    /** Opens the replica's circuit breaker, so that it isn't chosen for a while. */
    virtual void noteFailure(const ReplicaId &replica) = 0;
};

}
