#include "serving/enginechooser.h"

#include "core/hash.h"
#include "serving/adapterversions.h"
#include "serving/backendtable.h"
#include "serving/flow.h"
#include "serving/residencymap.h"
#include "serving/weights.h"

#include <algorithm>
#include <utility>

namespace vanillaspar::serving
{

namespace
{

// A nearer replica is taken if it is about as loaded; one that fails a tenth of its requests counts as a fifth fuller.
constexpr ReplicaPenalties penalties {0.04, 2.0, 10.0};
// Above this load a batch takes more requests, but another copy of the adapter is worth a load.
constexpr double spreadLoad = 0.6;
// The batch is full; what is sent beyond would only wait there, out of reach of a better place.
constexpr double fullLoad = 1.0;
// Prompt tokens that wait to be read until a replica counts as full: about half a second on the users' engines, which
// leaves the first event within the objectives.
constexpr double fullReading = 16000;
constexpr double noHolder = 10.0; // a load above any replica's

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

double EngineChooser::loadOf(const BackendState &state, const EngineSpec &engine)
{
    const double bySlots = state.slotLoad();
    if (engine.cacheTokens == 0) {
        return bySlots;
    }
    const double byTokens
        = static_cast<double>(state.own.tokens + state.peers.tokens) / static_cast<double>(engine.cacheTokens);
    const double byReading = static_cast<double>(state.own.unread + state.peers.unread) / fullReading;
    return std::max({bySlots, byTokens, byReading});
}

ReplicaChoice EngineChooser::choose(const Flow &flow, const EngineSpec &engine, Millis now)
{
    std::vector<BackendState *> usable = m_backends.usable(flow.pool);
    usable.erase(std::remove_if(usable.begin(), usable.end(),
                                [&](const BackendState *state) {
                                    return flow.ranOn.count(state->info.id) > 0;
                                }),
                 usable.end());
    const Holders holders = lookAtHolders(flow, usable, engine, now);
    ReplicaChoice choice {holders.best, nullptr, !usable.empty(), holders.shortage};
    if (!holders.shortage.isOneComing && holders.leastLoad >= spreadLoad) {
        choice.loadOn = nextHome(flow.request.weights, usable, engine, holders.best == nullptr, now);
    }
    return choice;
}

EngineChooser::Holders EngineChooser::lookAtHolders(const Flow &flow, const std::vector<BackendState *> &usable,
                                                    const EngineSpec &engine, Millis now) const
{
    const int64_t required = m_versions.minimumVersion(flow.request.weights, now);
    const std::map<ReplicaId, AdapterResidency> &places = m_residency.holders(flow.request.weights);
    Holders holders {nullptr, noHolder, {}};
    double best = 0;
    for (BackendState *state : usable) {
        const auto place = places.find(state->info.id);
        if (place == places.end()) {
            continue;
        }
        if (place->second.readyAt > now || place->second.version < required) {
            holders.shortage.isOneComing = holders.shortage.isOneComing || place->second.readyAt > now;
            continue;
        }
        ++holders.shortage.holders;
        const double load = loadOf(*state, engine);
        if (now >= state->avoidUntil) {
            holders.leastLoad = std::min(holders.leastLoad, load);
        }
        if (load >= fullLoad || flow.avoided.count(state->info.id) > 0) {
            continue;
        }
        const double value = penalties.score(load, *state, m_domain, now);
        if (holders.best == nullptr || value < best) {
            holders.best = state;
            best = value;
        }
    }
    return holders;
}

BackendState *EngineChooser::nextHome(const std::string &weights, const std::vector<BackendState *> &usable,
                                      const EngineSpec &engine, bool isUrgent, Millis now) const
{
    const int64_t required = m_versions.minimumVersion(weights, now);
    BackendState *firstWithout = nullptr;
    for (BackendState *state : homes(weights, usable)) {
        const AdapterResidency *place = m_residency.find(state->info.id, weights);
        const bool isHolder = place != nullptr && (place->version >= required || place->readyAt > now);
        if (!isHolder && loadOf(*state, engine) < spreadLoad && now >= state->avoidUntil) {
            return state;
        }
        if (place == nullptr && firstWithout == nullptr) {
            firstWithout = state;
        }
    }
    return isUrgent ? firstWithout : nullptr;
}

std::vector<BackendState *> EngineChooser::homes(const std::string &weights,
                                                 const std::vector<BackendState *> &usable) const
{
    const uint64_t seed = stableHash(weights);
    const std::string model = modelOf(weights);
    std::vector<std::pair<uint64_t, BackendState *>> ranked;
    for (BackendState *state : usable) {
        if (m_canOrder(state->info.id) && m_residency.find(state->info.id, model) != nullptr) {
            ranked.emplace_back(stableHash(state->info.id.text(), seed), state);
        }
    }
    std::sort(ranked.begin(), ranked.end(), [](const auto &a, const auto &b) {
        return a.first > b.first;
    });
    std::vector<BackendState *> homes;
    homes.reserve(ranked.size());
    for (const auto &[rank, state] : ranked) {
        homes.push_back(state);
    }
    return homes;
}

}
