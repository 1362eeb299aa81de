#pragma once

#include "core/ids.h"
#include "core/units.h"
#include "policy/firsteventestimate.h"
#include "policy/urgencymix.h"
#include "serving/replicas/replicachoice.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace vanillaspar
{
class Random;
}

namespace vanillaspar::serving
{

class AdapterVersions;
class BackendTable;
class ReplicaLatencies;
class ResidencyMap;
struct BackendState;
struct EngineSpec;
struct ActiveRequest;

/**
 * Chooses an engine for a request, and where to load an adapter that lacks capacity.
 *
 * Rendezvous hashing ranks the replicas for each adapter, so that all hosts prefer the same ones: there the adapter is
 * resident or loads fast, and prefixes of its prompts are cached. An adapter is loaded on further replicas in this
 * order as the first ones fill up.
 *
 * A replica is full for a request if the request's first event would be late there: the time is estimated from the
 * prompts that wait there, the reading speed observed and the replica's pace against the others. A request that can't
 * be in time anywhere is sent where hardly any prompt waits, so that it delays no other.
 */
class EngineChooser
{
public:
    /** Returns whether the host that orders a replica's loads is reachable. */
    using CanLoad = std::function<bool(const ReplicaId &)>;

    /**
     * @param domain failure domain of this host, whose replicas are preferred.
     * @param canLoad tells where adapters can be loaded.
     * @param random varies the choice among replicas with about equal load.
     */
    EngineChooser(BackendTable &backends, ResidencyMap &residency, const AdapterVersions &versions, DomainId domain,
                  CanLoad canLoad, Random &random);

    /** Uses latencies that all hosts observed, while they are enabled, instead of this host's alone. */
    void setLatencies(ReplicaLatencies &latencies)
    {
        m_latencies = &latencies;
    }
    /**
     * Chooses where to send a request and, if its adapter lacks capacity, where to load the adapter.
     *
     * @param active the request to send.
     * @param engine capacity of the pool's engines.
     * @param now current time.
     * @return the replica to send to and the replica to load the adapter on; either may be nullptr.
     */
    ReplicaChoice choose(const ActiveRequest &active, const EngineSpec &engine, Millis now);
    /** Sets whether an adapter is loaded where a slot for it is free or can be freed at once. */
    void setLoadsWhereSlotsAreFree(bool isOn)
    {
        m_loadsWhereSlotsAreFree = isOn;
    }
    /** @return where an adapter is loaded first, or nullptr. */
    const BackendState *preferredReplica(const std::string &weights, const PoolId &pool) const;
    /** A request is about to be sent to @p backend: records the prompt tokens that are ahead of its first event. */
    void onSending(ActiveRequest &active, const BackendState &backend);
    /** The first event of a request's response arrived. */
    void onFirstEvent(const ActiveRequest &active, Millis now);
    /** A request got its complete response. */
    void onCompleted(const ActiveRequest &active, Millis now);
    /** A request still waits for the first event of its response. */
    void onWaiting(const ActiveRequest &active, Millis now);

private:
    /** Evaluation of the replicas where an adapter is resident. */
    struct Holders
    {
        BackendState *best = nullptr; ///< Replica to send to; nullptr if none has capacity.
        double leastLoad; ///< Of the replicas that aren't temporarily avoided.
        AdapterAvailability availability;
        BlockedReplica blocked; ///< Best of those with room where no request may be started now.
    };

    /** A replica that a request could be sent to. */
    struct Candidate
    {
        BackendState *state = nullptr;
        double score = 0; ///< Load with penalties; the lower the better.
    };

    /**
     * Chooses a candidate with a low score.
     *
     * What other hosts have sent since their last reports isn't known here. If all hosts chose the best candidate, they
     * would all send to the same replica until the next reports arrive. So each score is raised by a random part of
     * what that may amount to: little where few requests arrive between two reports, as seen from a replica's slots.
     */
    BackendState *chooseCandidate(const std::vector<Candidate> &candidates) const;
    Holders evaluateHolders(const ActiveRequest &active, const std::vector<BackendState *> &usable,
                            const EngineSpec &engine, Millis now) const;
    /**
     * Chooses a replica to load an adapter on.
     *
     * @param active the request that needs its adapter.
     * @param usable replicas of the pool that may get new requests.
     * @param engine capacity of the pool's engines.
     * @param isUrgent whether to accept a loaded replica if there is no other.
     * @param now current time.
     * @return where to load the adapter, or nullptr.
     */
    BackendState *chooseLoadTarget(const ActiveRequest &active, const std::vector<BackendState *> &usable,
                                   const EngineSpec &engine, bool isUrgent, Millis now) const;
    /** @return the replicas that can load the adapter, in descending order of their rendezvous hash. */
    std::vector<BackendState *> preferredReplicas(const std::string &weights,
                                                  const std::vector<BackendState *> &usable) const;
    /** @return a replica's load: 1 if its slots or its KV cache are full, or if it needs the whole objective. */
    double loadOf(const BackendState &state, const ActiveRequest &active, const EngineSpec &engine, Millis now) const;
    /** @return whether a request may be sent to the replica now. */
    bool hasRoom(const BackendState &state, const ActiveRequest &active, const EngineSpec &engine, Millis now) const;
    /** @return prompt tokens that the replica reads before a request's first event, the request's own included. */
    double prefillAhead(const BackendState &state, const ActiveRequest &active) const;
    /** @return time until the first event if @p tokens have to be read, at the replica's pace. */
    Millis timeToRead(const BackendState &state, double tokens, Millis now) const;

    /** @return how much longer than the others of its pool the replica takes. */
    double paceOf(const BackendState &state, Millis now) const;
    /** @return whether latencies of all hosts are used. */
    bool usesLatencies() const;

    BackendTable &m_backends;
    ResidencyMap &m_residency;
    const AdapterVersions &m_versions;
    DomainId m_domain;
    CanLoad m_canLoad;
    Random &m_random;
    FirstEventEstimate m_firstEvents; ///< Of all engines that this host has sent requests to.
    UrgencyMix m_urgencyMix;
    bool m_loadsWhereSlotsAreFree = false;
    ReplicaLatencies *m_latencies = nullptr; ///< nullptr for none.
    double m_meanDuration = 0; ///< Milliseconds from sending a request to its complete response; 0 if none is known.
};

}
