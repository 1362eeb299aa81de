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
 * Chooses an engine for a request and where an adapter that is missing should be loaded.
 *
 * Every adapter has a list of preferredReplicas, the replicas by rendezvous hashing, so that all hosts send it to the
 * same ones: there it is resident or loads fast, and the parts of its prompts are cached. A popular adapter spreads
 * over further preferredReplicas as the first ones fill up.
 */
class EngineChooser
{
public:
    /** Tells whether the host that orders a replica's loads is there. */
    using CanLoad = std::function<bool(const ReplicaId &)>;

    EngineChooser(BackendTable &backends, ResidencyMap &residency, const AdapterVersions &versions, DomainId domain,
                  CanLoad canLoad);

    ReplicaChoice choose(const ActiveRequest &active, const EngineSpec &engine, Millis now);

private:
    /** The replicas that hold an adapter. */
    struct Holders
    {
        BackendState *best = nullptr; ///< The one to send to; nullptr if none has room.
        double leastLoad; ///< Of those that aren't excluded.
        AdapterAvailability availability;
    };

    Holders evaluateHolders(const ActiveRequest &active, const std::vector<BackendState *> &usable,
                            const EngineSpec &engine, Millis now) const;
    /** @param isUrgent whether a full home is better than none. @return where to load the adapter, or nullptr. */
    BackendState *chooseLoadTarget(const std::string &weights, const std::vector<BackendState *> &usable,
                                   const EngineSpec &engine, bool isUrgent, Millis now) const;
    /** @return the replicas that can load the adapter, the first home first. */
    std::vector<BackendState *> preferredReplicas(const std::string &weights,
                                                  const std::vector<BackendState *> &usable) const;
    /** @return a replica's load, 1 when its batch, its memory or what it has to read is full. */
    static double loadOf(const BackendState &state, const EngineSpec &engine);

    BackendTable &m_backends;
    ResidencyMap &m_residency;
    const AdapterVersions &m_versions;
    DomainId m_domain;
    CanLoad m_canLoad;
};

}
