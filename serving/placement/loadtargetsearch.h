#pragma once

#include "core/units.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace vanillaspar::serving
{

class ResidencyMap;
struct BackendState;

/**
 * Searches the engine on which an adapter can be loaded without delay.
 *
 * Load it handles: more adapters are needed than fit, and most adapter slots are in use by requests. An engine whose
 * requests use all of its slots can't evict an adapter until one of them ends, so a load ordered there waits although
 * other engines could start it at once. Each request uses one slot at most, so a slot is free or can be freed wherever
 * fewer requests run than there are slots.
 */
struct LoadTargetSearch
{
    /** Above this load a replica still takes requests, but loading the adapter on another replica pays off. */
    static constexpr double spreadThreshold = 0.85;
    /** All slots are in use. Further requests would queue at the replica and could no longer be sent to another one. */
    static constexpr double fullLoad = 1.0;

    const ResidencyMap &residency;
    const std::string &weights; ///< "model/adapter".
    int64_t requiredVersion; ///< The oldest version that is of use.
    int64_t adapterSlots; ///< Of each engine.
    Millis now;

    /**
     * Finds an engine that keeps a copy of the adapter in its own memory, or else one that lacks it.
     *
     * @param preferred engines that can load the adapter, the best first.
     * @param loadOf an engine's load for the request that needs the adapter; 1 if it is full.
     * @return the engine, or nullptr if a load would have to wait on all of them.
     */
    BackendState *find(const std::vector<BackendState *> &preferred,
                       const std::function<double(const BackendState &)> &loadOf) const;

private:
    /** @return whether the engine can start a load now. */
    bool canStartLoad(const BackendState &state) const;
};

}
