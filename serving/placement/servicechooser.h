#pragma once

#include "core/ids.h"
#include "core/units.h"
#include "serving/replicas/replicachoice.h"

#include <vector>

namespace vanillaspar
{
class Random;
}

namespace vanillaspar::serving
{

class BackendTable;
class ReplicaLatencies;
struct ActiveRequest;

/**
 * Chooses a replica of a plain service, preferring the own failure domain at about equal load.
 *
 * Without latencies, or while they are disabled, the replica with the least load by slots is chosen. With them it is
 * the one that is expected to complete the request first. A request that would have to queue at a replica beyond its
 * objective waits on this host instead, where the replica that frees up first can still be chosen.
 */
class ServiceChooser
{
public:
    /**
     * @param domain failure domain of this host.
     * @param latencies observed ones; nullptr for none.
     * @param random varies the choice by latencies; required with them.
     */
    ServiceChooser(BackendTable &backends, DomainId domain, ReplicaLatencies *latencies = nullptr,
                   Random *random = nullptr);

    /** @return the replica to send the request to, if one has capacity. */
    ReplicaChoice choose(const ActiveRequest &active, Millis now);

private:
    /** The best replica of a search. */
    struct Selection
    {
        BackendState *state = nullptr; ///< nullptr if none may be chosen.
        double score = 0; ///< The lower the better.
        BlockedReplica blocked;
    };

    Selection chooseBySlots(const ActiveRequest &active, const std::vector<BackendState *> &usable, Millis now) const;
    /**
     * Chooses by expected completion.
     *
     * Reports of other hosts are older than most work lasts. So the choice is drawn, with a probability that falls with
     * the fourth power of the expected time, as far as the reports are old compared with the work; otherwise it is the
     * first.
     */
    Selection chooseByLatency(const ActiveRequest &active, const std::vector<BackendState *> &usable, Millis now);
    /** Keeps the replica if it is better than the one selected so far. */
    void consider(Selection &selection, BackendState &state, double score, Millis now) const;

    BackendTable &m_backends;
    DomainId m_domain;
    ReplicaLatencies *m_latencies;
    Random *m_random;
};

}
