#pragma once

#include "core/ids.h"

#include <memory>
#include <vector>

namespace vanillaspar
{

class Random;

/** A replica that can execute a request, with its load as known to this host. */
struct Candidate
{
    ReplicaId replica;
    int64_t outstanding
        = 0; ///< Requests queued or running there, including those that this host sent since the last report.
    int64_t batch = 1; ///< Requests that it runs concurrently.
    bool isOwnedLocally = false; ///< Whether this host owns the replica.
};

/** Strategy that chooses the replica for a request. */
class Placement
{
public:
    virtual ~Placement() = default;

    /**
     * Chooses a replica.
     *
     * @param adapter adapter that the request needs.
     * @param popularity the adapter's fraction of the recent requests, from 0 to 1.
     * @param candidates at least one replica.
     * @param random source of randomness for strategies that need it.
     * @return an index into @p candidates.
     */
    virtual size_t choose(const AdapterRef &adapter, double popularity, const std::vector<Candidate> &candidates,
                          Random &random) const = 0;
};

/** @return rendezvous hashing with bounded load, which spreads popular adapters over more replicas. */
std::unique_ptr<Placement> makeBoundedLoadRendezvous();
/** @return plain rendezvous hashing that ignores load; a baseline for comparisons. */
std::unique_ptr<Placement> makePlainRendezvous();
/** @return choice of the least loaded replica that ignores adapters; a baseline for comparisons. */
std::unique_ptr<Placement> makeLeastLoaded();

}
