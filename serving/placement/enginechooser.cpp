#include "serving/placement/enginechooser.h"

#include "core/hash.h"
#include "core/random.h"
#include "serving/interfaces/weights.h"
#include "serving/placement/loadtargetsearch.h"
#include "serving/placement/replicalatencies.h"
#include "serving/queueing/activerequest.h"
#include "serving/replicas/adapterversions.h"
#include "serving/replicas/backendtable.h"
#include "serving/replicas/residencymap.h"
#include "serving/replicas/startlimit.h"

#include <algorithm>
#include <utility>

namespace vanillaspar::serving
{

namespace
{

// A replica of the own domain is preferred at about equal load. A failure rate of a tenth counts as a fifth more load.
constexpr ReplicaPenalties penalties {0.04, 2.0, 10.0};
// Part of its objective for which a request that is late anyhow may wait for other prompts at its replica.
constexpr double lateQueueFraction = 0.15;
constexpr double newestDurationWeight = 0.05;
// Own pace from which a replica counts as stuck whatever other hosts observe. Slow replicas are 1.3 to 2.5 times as
// slow.
constexpr double stuckFactor = 5;
constexpr double noHolderLoad = 10.0; // exceeds the load of any replica

}

EngineChooser::EngineChooser(BackendTable &backends, ResidencyMap &residency, const AdapterVersions &versions,
                             DomainId domain, CanLoad canLoad, Random &random)
    : m_backends(backends)
    , m_residency(residency)
    , m_versions(versions)
    , m_domain(std::move(domain))
    , m_canLoad(std::move(canLoad))
    , m_random(random)
{
}

double EngineChooser::prefillAhead(const BackendState &state, const ActiveRequest &active) const
{
    double ahead = static_cast<double>(state.peers.pendingPrefill) * m_urgencyMix.fractionUpTo(active.priority);
    for (const auto &[priority, tokens] : state.ownPrefill) {
        ahead += priority <= active.priority ? static_cast<double>(tokens) : 0;
    }
    return ahead + static_cast<double>(active.request.promptTokens.value);
}

Millis EngineChooser::timeToRead(const BackendState &state, double tokens, Millis now) const
{
    return m_firstEvents.expected(tokens) * paceOf(state, now);
}

bool EngineChooser::usesLatencies() const
{
    return m_latencies != nullptr && m_latencies->isEnabled();
}

double EngineChooser::paceOf(const BackendState &state, Millis now) const
{
    // A replica that this host alone finds stuck, as its requests there don't begin, is avoided before others know.
    const double own = state.pace.factor(now);
    return usesLatencies() ? std::max(m_latencies->factor(state), own >= stuckFactor ? own : 0) : own;
}

double EngineChooser::loadOf(const BackendState &state, const ActiveRequest &active, const EngineSpec &engine,
                             Millis now) const
{
    const double bySlots = state.slotLoad();
    if (engine.cacheTokens == 0) {
        return bySlots;
    }
    const double byTokens
        = static_cast<double>(state.own.tokens + state.peers.tokens) / static_cast<double>(engine.cacheTokens);
    const double byTime = static_cast<double>(timeToRead(state, prefillAhead(state, active), now).value)
        / static_cast<double>(active.objective.value);
    return std::max({bySlots, byTokens, byTime});
}

bool EngineChooser::hasRoom(const BackendState &state, const ActiveRequest &active, const EngineSpec &engine,
                            Millis now) const
{
    if (state.slotLoad() >= LoadTargetSearch::fullLoad) {
        return false;
    }
    if (engine.cacheTokens == 0) {
        return true;
    }
    if (state.own.tokens + state.peers.tokens >= engine.cacheTokens) {
        return false;
    }
    const Millis alone = timeToRead(state, static_cast<double>(active.request.promptTokens.value), now);
    const Millis untilLate = (active.isResponding() ? active.waitDeadline : active.lateAfter) - now;
    return timeToRead(state, prefillAhead(state, active), now)
        <= std::max(untilLate, alone + active.objective * lateQueueFraction);
}

void EngineChooser::onSending(ActiveRequest &active, const BackendState &backend)
{
    active.prefillAhead = prefillAhead(backend, active);
    if (usesLatencies()) {
        active.expectedLatency = static_cast<double>(m_firstEvents.expected(active.prefillAhead).value);
    }
    m_urgencyMix.add(active.priority, static_cast<double>(active.request.promptTokens.value));
    if (StartLimit *limit = m_backends.startLimit()) {
        limit->onSending(backend, active.sentAt);
    }
}

void EngineChooser::onFirstEvent(const ActiveRequest &active, Millis now)
{
    const Millis elapsed = now - active.sentAt;
    if (BackendState *state = m_backends.find(active.replica)) {
        const Millis expected = m_firstEvents.expected(active.prefillAhead);
        const double ratio
            = static_cast<double>(elapsed.value) / static_cast<double>(std::max<int64_t>(expected.value, 1));
        state->pace.onFirstEvent(ratio, now);
        if (usesLatencies()) {
            m_latencies->observe(active.replica, ratio, 1, now);
        }
    }
    m_firstEvents.observe(active.prefillAhead, elapsed);
}

void EngineChooser::onCompleted(const ActiveRequest &active, Millis now)
{
    const auto duration = static_cast<double>((now - active.sentAt).value);
    m_meanDuration += m_meanDuration > 0 ? (duration - m_meanDuration) * newestDurationWeight : duration;
}

void EngineChooser::onWaiting(const ActiveRequest &active, Millis now)
{
    const Millis expected = m_firstEvents.expected(active.prefillAhead);
    const Millis elapsed = now - active.sentAt;
    BackendState *state = m_backends.find(active.replica);
    if (state != nullptr && elapsed > expected) {
        state->pace.onWaiting(
            static_cast<double>(elapsed.value) / static_cast<double>(std::max<int64_t>(expected.value, 1)), now);
    }
}

ReplicaChoice EngineChooser::choose(const ActiveRequest &active, const EngineSpec &engine, Millis now)
{
    std::vector<BackendState *> usable = m_backends.usable(active.pool);
    usable.erase(std::remove_if(usable.begin(), usable.end(),
                                [&](const BackendState *state) {
                                    return active.mayHaveRunOn.count(state->info.id) > 0;
                                }),
                 usable.end());
    const bool hasCandidates = !usable.empty();
    if (usesLatencies()) {
        m_latencies->update(active.pool, usable, now);
    }
    const std::optional<Millis> pausedUntil = removePaused(usable, now);
    const Holders holders = evaluateHolders(active, usable, engine, now);
    ReplicaChoice choice {holders.best, nullptr, hasCandidates, pausedUntil, holders.availability};
    if (!holders.availability.hasPendingLoad && holders.leastLoad >= LoadTargetSearch::spreadThreshold) {
        const bool isUrgent = holders.best == nullptr && holders.blocked.isEmpty();
        choice.loadTarget = chooseLoadTarget(active, usable, engine, isUrgent, now);
    }
    const double load = holders.best == nullptr ? 0 : loadOf(*holders.best, active, engine, now);
    holders.blocked.request(m_backends.startLimit(), active.request.exchange, choice, load, now);
    return choice;
}

EngineChooser::Holders EngineChooser::evaluateHolders(const ActiveRequest &active,
                                                      const std::vector<BackendState *> &usable,
                                                      const EngineSpec &engine, Millis now) const
{
    const int64_t required = m_versions.minimumVersion(active.request.weights, now);
    const std::map<ReplicaId, AdapterResidency> &residences = m_residency.holders(active.request.weights);
    Holders holders {nullptr, noHolderLoad, {}, {}};
    std::vector<Candidate> candidates;
    for (BackendState *state : usable) {
        const auto residence = residences.find(state->info.id);
        if (residence == residences.end()) {
            continue;
        }
        if (!residence->second.isUsable(now) || residence->second.version < required) {
            holders.availability.hasPendingLoad
                = holders.availability.hasPendingLoad || !residence->second.isUsable(now);
            holders.availability.outdated += residence->second.version < required ? 1 : 0;
            continue;
        }
        ++holders.availability.holders;
        const double load = loadOf(*state, active, engine, now);
        if (isBlocked(m_backends.startLimit(), *state, now)) {
            if (hasRoom(*state, active, engine, now) && active.excluded.count(state->info.id) == 0) {
                holders.blocked.offer(*state, penalties.score(load, *state, m_domain, now));
            }
            continue;
        }
        if (now >= state->avoidUntil) {
            holders.leastLoad = std::min(holders.leastLoad, load);
        }
        if (!hasRoom(*state, active, engine, now) || active.excluded.count(state->info.id) > 0) {
            continue;
        }
        candidates.push_back({state, penalties.score(load, *state, m_domain, now)});
    }
    holders.best = chooseCandidate(candidates);
    return holders;
}

const BackendState *EngineChooser::preferredReplica(const std::string &weights, const PoolId &pool) const
{
    const std::vector<BackendState *> preferred = preferredReplicas(weights, m_backends.usable(pool));
    return preferred.empty() ? nullptr : preferred.front();
}

BackendState *EngineChooser::chooseCandidate(const std::vector<Candidate> &candidates) const
{
    int64_t running = 0;
    int64_t slots = 0;
    for (const Candidate &candidate : candidates) {
        running += candidate.state->peers.running;
        slots = std::max(slots, candidate.state->info.slots);
    }
    double unseenLoad = 0;
    if (m_meanDuration > 0 && slots > 0) {
        const double unseen
            = static_cast<double>(running) * static_cast<double>(m_backends.reportAge().value) / m_meanDuration;
        unseenLoad = std::min(unseen / static_cast<double>(slots), 1.0);
    }
    BackendState *chosen = nullptr;
    double best = 0;
    for (const Candidate &candidate : candidates) {
        const double score = candidate.score + unseenLoad * m_random.unit();
        if (chosen == nullptr || score < best) {
            chosen = candidate.state;
            best = score;
        }
    }
    return chosen;
}

BackendState *EngineChooser::chooseLoadTarget(const ActiveRequest &active, const std::vector<BackendState *> &usable,
                                              const EngineSpec &engine, bool isUrgent, Millis now) const
{
    const std::string &weights = active.request.weights;
    const int64_t required = m_versions.minimumVersion(weights, now);
    const std::vector<BackendState *> preferred = preferredReplicas(weights, usable);
    if (m_loadsWhereSlotsAreFree) {
        const LoadTargetSearch search {m_residency, weights, required, engine.adapterSlots, now};
        BackendState *target = search.find(preferred, [&](const BackendState &state) {
            return isBlocked(m_backends.startLimit(), state, now) ? LoadTargetSearch::fullLoad
                                                                  : loadOf(state, active, engine, now);
        });
        if (target != nullptr || !isUrgent) {
            return target;
        }
    }
    for (BackendState *state : preferred) {
        const bool isCached = m_residency.find(state->info.id, weights) == nullptr
            && m_residency.wasHeldLately(state->info.id, weights);
        if (isCached && now >= state->avoidUntil && loadOf(*state, active, engine, now) < LoadTargetSearch::fullLoad) {
            return state;
        }
    }
    BackendState *firstWithout = nullptr;
    for (BackendState *state : preferred) {
        const AdapterResidency *residence = m_residency.find(state->info.id, weights);
        const bool isHolder = residence != nullptr && (residence->version >= required || residence->readyAt > now);
        if (!isHolder && !isBlocked(m_backends.startLimit(), *state, now)
            && loadOf(*state, active, engine, now) < LoadTargetSearch::spreadThreshold && now >= state->avoidUntil) {
            return state;
        }
        if (residence == nullptr && firstWithout == nullptr) {
            firstWithout = state;
        }
    }
    return isUrgent ? firstWithout : nullptr;
}

std::vector<BackendState *> EngineChooser::preferredReplicas(const std::string &weights,
                                                             const std::vector<BackendState *> &usable) const
{
    const uint64_t seed = stableHash(weights);
    const std::string model = modelOf(weights);
    std::vector<std::pair<uint64_t, BackendState *>> ranked;
    for (BackendState *state : usable) {
        if (m_canLoad(state->info.id) && m_residency.find(state->info.id, model) != nullptr) {
            ranked.emplace_back(stableHash(state->info.id.text(), seed), state);
        }
    }
    std::sort(ranked.begin(), ranked.end(), [](const auto &a, const auto &b) {
        return a.first > b.first;
    });
    std::vector<BackendState *> preferredReplicas;
    preferredReplicas.reserve(ranked.size());
    for (const auto &[rank, state] : ranked) {
        preferredReplicas.push_back(state);
    }
    return preferredReplicas;
}

}
