#include "serving/placement/loadtargetsearch.h"

#include "serving/replicas/backendtable.h"
#include "serving/replicas/residencymap.h"

namespace vanillaspar::serving
{

namespace
{

constexpr int64_t maxLoadsInProgress = 4; // adapters that a replica loads at a time, by the platform's protocol

}

BackendState *LoadTargetSearch::find(const std::vector<BackendState *> &preferred,
                                     const std::function<double(const BackendState &)> &loadOf) const
{
    BackendState *firstWithout = nullptr;
    for (BackendState *state : preferred) {
        if (now < state->avoidUntil) {
            continue;
        }
        const AdapterResidency *residence = residency.find(state->info.id, weights);
        const bool isCached = residence == nullptr && residency.wasHeldLately(state->info.id, weights);
        const bool isHolder
            = residence != nullptr && (residence->version >= requiredVersion || residence->readyAt > now);
        if (isHolder || (firstWithout != nullptr && !isCached) || !canStartLoad(*state)) {
            continue;
        }
        const double load = loadOf(*state);
        if (isCached && load < fullLoad) {
            return state;
        }
        if (firstWithout == nullptr && load < spreadThreshold) {
            firstWithout = state;
        }
    }
    return firstWithout;
}

bool LoadTargetSearch::canStartLoad(const BackendState &state) const
{
    const AdapterSlotUse use = residency.slotUse(state.info.id, now);
    const bool hasFreeSlot = use.resident < adapterSlots || state.running() + use.loading < adapterSlots;
    return use.loading < maxLoadsInProgress && hasFreeSlot;
}

}
