#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <functional>
#include <string>
#include <vector>

namespace vanillaspar
{
struct AdapterAsk;
}

namespace vanillaspar::serving
{

class AdapterVersions;
class BackendTable;
class ResidencyMap;
struct BackendState;
struct EngineSpec;
struct Flow;

/** Where a request for an adapter can go now. */
struct EngineChoice
{
    BackendState *backend = nullptr; ///< Send it there; nullptr if no replica that holds the adapter has room.
    BackendState *loadOn = nullptr; ///< Ask for the adapter there; nullptr if that would not help.
    bool isPossible = true; ///< Whether any replica of the pool may get work at all.
};

/**
 * Chooses an engine for a request and where an adapter that is missing should be loaded.
 *
 * Every adapter has a list of homes, the replicas by rendezvous hashing, so that all hosts send it to the same ones:
 * there it is resident or loads fast, and the parts of its prompts are cached. A popular adapter spreads over further
 * homes as the first ones fill up.
 */
class EngineChooser
{
public:
    /** Tells whether the host that orders a replica's loads is there. */
    using CanOrder = std::function<bool(const ReplicaId &)>;

    EngineChooser(BackendTable &backends, ResidencyMap &residency, const AdapterVersions &versions, DomainId domain,
                  CanOrder canOrder);

    EngineChoice choose(const Flow &flow, const EngineSpec &engine, Millis now);
    /** @return a replica's load, 1 when its batch or its memory is full. */
    static double loadOf(const BackendState &state, const EngineSpec *engine);

private:
    std::vector<BackendState *> homes(const std::string &weights, std::vector<BackendState *> usable) const;
    double score(const BackendState &state, const EngineSpec &engine, Millis now) const;

    BackendTable &m_backends;
    ResidencyMap &m_residency;
    const AdapterVersions &m_versions;
    DomainId m_domain;
    CanOrder m_canOrder;
};

}
