#include "serving/enginechooser.h"

#include "core/hash.h"
#include "serving/adapterversions.h"
#include "serving/backendtable.h"
#include "serving/flow.h"
#include "serving/residencymap.h"

#include <algorithm>

namespace vanillaspar::serving
{

namespace
{

// Bytes between failure domains are priced; a nearer replica is taken if it is about as loaded.
constexpr double farPenalty = 0.04;
constexpr double failurePenalty = 2.0; // a replica that fails a tenth of its requests counts as a fifth fuller
constexpr double avoidPenalty = 10.0;
// Above this load a batch takes more requests, but another copy of the adapter is worth a load.
constexpr double spreadLoad = 0.6;
// The batch is full; what is sent beyond would only wait there, out of reach of a better place.
constexpr double fullLoad = 1.0;
// Prompt tokens that wait to be read until a replica counts as full: about half a second on the users' engines, which
// leaves the first event within the objectives.
constexpr double fullReading = 16000;

std::string modelOf(const std::string &weights)
{
    return weights.substr(0, weights.find('/'));
}

}

EngineChooser::EngineChooser(BackendTable &backends, ResidencyMap &residency, const AdapterVersions &versions,
                             DomainId domain, CanOrder canOrder)
    : m_backends(backends)
    , m_residency(residency)
    , m_versions(versions)
    , m_domain(std::move(domain))
    , m_canOrder(std::move(canOrder))
{
}

double EngineChooser::loadOf(const BackendState &state, const EngineSpec *engine)
{
    const double slots = static_cast<double>(std::max<int64_t>(state.info.slots, 1));
    const double bySlots = static_cast<double>(state.running()) / slots;
    if (engine == nullptr || engine->cacheTokens == 0) {
        return bySlots;
    }
    const double byTokens
        = static_cast<double>(state.ownTokens + state.peerTokens) / static_cast<double>(engine->cacheTokens);
    const double byReading = static_cast<double>(state.ownUnread + state.peerUnread) / fullReading;
    return std::max({bySlots, byTokens, byReading});
}

double EngineChooser::score(const BackendState &state, const EngineSpec &engine, Millis now) const
{
    double score = loadOf(state, &engine) + state.failureRate * failurePenalty;
    if (state.info.domain != m_domain) {
        score += farPenalty;
    }
    if (now < state.avoidUntil) {
        score += avoidPenalty;
    }
    return score;
}

std::vector<BackendState *> EngineChooser::homes(const std::string &weights, std::vector<BackendState *> usable) const
{
    const uint64_t seed = stableHash(weights);
    std::sort(usable.begin(), usable.end(), [seed](const BackendState *a, const BackendState *b) {
        return stableHash(a->info.id.text(), seed) > stableHash(b->info.id.text(), seed);
    });
    return usable;
}

EngineChoice EngineChooser::choose(const Flow &flow, const EngineSpec &engine, Millis now)
{
    EngineChoice choice;
    const std::string &weights = flow.request.weights;
    std::vector<BackendState *> usable = m_backends.usable(flow.pool);
    usable.erase(std::remove_if(usable.begin(), usable.end(),
                                [&](const BackendState *state) {
                                    return flow.ranOn.count(state->info.id) > 0;
                                }),
                 usable.end());
    choice.isPossible = !usable.empty();
    const int64_t required = m_versions.required(weights, now);
    const std::map<ReplicaId, Residence> &holders = m_residency.holders(weights);
    double best = 0;
    bool isComing = false;
    double leastLoad = avoidPenalty;
    for (BackendState *state : usable) {
        const auto place = holders.find(state->info.id);
        if (place == holders.end()) {
            continue;
        }
        if (place->second.readyAt > now || place->second.version < required) {
            isComing = isComing || place->second.readyAt > now;
            continue;
        }
        const double load = loadOf(*state, &engine);
        if (now >= state->avoidUntil) {
            leastLoad = std::min(leastLoad, load);
        }
        if (load >= fullLoad || flow.avoided.count(state->info.id) > 0) {
            continue;
        }
        const double value = score(*state, engine, now);
        if (choice.backend == nullptr || value < best) {
            choice.backend = state;
            best = value;
        }
    }
    if (isComing || leastLoad < spreadLoad) {
        return choice;
    }
    usable.erase(std::remove_if(usable.begin(), usable.end(),
                                [&](const BackendState *state) {
                                    return !m_canOrder(state->info.id)
                                        || m_residency.find(state->info.id, modelOf(weights)) == nullptr;
                                }),
                 usable.end());
    // Another home: the first that has room, of those that hold the base model and take orders.
    for (BackendState *state : homes(weights, usable)) {
        const bool isHolder = holders.count(state->info.id) > 0
            && (holders.at(state->info.id).version >= required || holders.at(state->info.id).readyAt > now);
        if (!isHolder && loadOf(*state, &engine) < spreadLoad && now >= state->avoidUntil) {
            choice.loadOn = state;
            return choice;
        }
    }
    if (choice.backend == nullptr) {
        for (BackendState *state : homes(weights, usable)) {
            if (holders.count(state->info.id) == 0) {
                choice.loadOn = state;
                return choice;
            }
        }
    }
    return choice;
}

}
