#pragma once

#include "core/ids.h"
#include "core/units.h"
#include "serving/replicachoice.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace vanillaspar::serving
{

class AdapterVersions;
class BackendTable;
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
 */
class EngineChooser
{
public:
    /** Returns whether the host that orders a replica's loads is reachable. */
    using CanLoad = std::function<bool(const ReplicaId &)>;

    /**
     * @param domain failure domain of this host, whose replicas are preferred.
     * @param canLoad tells where adapters can be loaded.
     */
    EngineChooser(BackendTable &backends, ResidencyMap &residency, const AdapterVersions &versions, DomainId domain,
                  CanLoad canLoad);

    /**
     * Chooses where to send a request and, if its adapter lacks capacity, where to load the adapter.
     *
     * @param active the request to send.
     * @param engine capacity of the pool's engines.
     * @param now current time.
     * @return the replica to send to and the replica to load the adapter on; either may be nullptr.
     */
    ReplicaChoice choose(const ActiveRequest &active, const EngineSpec &engine, Millis now);

private:
    /** Evaluation of the replicas where an adapter is resident. */
    struct Holders
    {
        BackendState *best = nullptr; ///< Replica to send to; nullptr if none has capacity.
        double leastLoad; ///< Of the replicas that aren't temporarily avoided.
        AdapterAvailability availability;
    };

    Holders evaluateHolders(const ActiveRequest &active, const std::vector<BackendState *> &usable,
                            const EngineSpec &engine, Millis now) const;
    /**
     * Chooses a replica to load an adapter on.
     *
     * @param weights "model/adapter".
     * @param usable replicas of the pool that may get new requests.
     * @param engine capacity of the pool's engines.
     * @param isUrgent whether to accept a loaded replica if there is no other.
     * @param now current time.
     * @return where to load the adapter, or nullptr.
     */
    BackendState *chooseLoadTarget(const std::string &weights, const std::vector<BackendState *> &usable,
                                   const EngineSpec &engine, bool isUrgent, Millis now) const;
    /** @return the replicas that can load the adapter, in descending order of their rendezvous hash. */
    std::vector<BackendState *> preferredReplicas(const std::string &weights,
                                                  const std::vector<BackendState *> &usable) const;
    /** @return a replica's load; 1 if its slots, its KV cache or its limit of pending prefill is reached. */
    static double loadOf(const BackendState &state, const EngineSpec &engine);

    BackendTable &m_backends;
    ResidencyMap &m_residency;
    const AdapterVersions &m_versions;
    DomainId m_domain;
    CanLoad m_canLoad;
};

}
