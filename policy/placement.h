#pragma once

#include "core/ids.h"

#include <memory>
#include <vector>

namespace vanillaspar
{

class Random;

/** A replica that may run a request, as the router sees it. */
struct Candidate
{
    ReplicaId replica;
    int64_t outstanding = 0; ///< Requests queued or running there, corrected by own dispatches.
    int64_t batch = 1; ///< Requests that it runs at once.
    bool isOwnedLocally = false; ///< Whether its owner is this host.
};

/** Chooses the replica for a request. */
class Placement
{
public:
    virtual ~Placement() = default;

    /**
     * @param adapter what will run.
     * @param popularity the adapter's part of the recent requests, from 0 to 1.
     * @param candidates at least one replica.
     * @return an index into @p candidates.
     */
    virtual size_t choose(const AdapterRef &adapter, double popularity, const std::vector<Candidate> &candidates,
                          Random &random) const = 0;
};

/** @return rendezvous hashing with bounded load, and more copies for popular adapters. */
std::unique_ptr<Placement> makeBoundedLoadRendezvous();
/** @return the baseline that always takes the first replica by rendezvous hashing. */
std::unique_ptr<Placement> makePlainRendezvous();
/** @return the baseline that takes the least loaded replica and ignores adapters. */
std::unique_ptr<Placement> makeLeastLoaded();

}
