#include "serving/replicas/backendtable.h"

#include "cluster/messages/fleet.h"
#include "core/hash.h"
#include "policy/backoff.h"

#include <algorithm>

namespace vanillaspar::serving
{

namespace
{

// Weight of the newest outcome in the moving average of failures, which so covers about ten requests.
constexpr double newestOutcomeWeight = 0.1;
// A failing server is avoided for this time, doubled with each further failure.
constexpr Millis minAvoidance(200);
constexpr Millis maxAvoidance(2000);
constexpr int maxDoublings = 4;
// A removed server still completes its open requests for some seconds.
constexpr Millis removedRetention(30000);
// The entry of a server that said itself that it is leaving may come back after an outage of the store.
constexpr Millis leftRetention(600000);
// Longer than a host waits for heartbeats before it reads the entries itself.
constexpr Millis leavingRetention(5000);

}

bool BackendTable::upsert(Backend backend, Millis now)
{
    std::unique_ptr<BackendState> &state = m_backends[backend.id];
    const bool isNew = state == nullptr;
    if (isNew) {
        state = std::make_unique<BackendState>();
        state->shortId = shortHash(backend.id.text());
        const auto peers = m_peerLoads.find(state->shortId);
        state->peers = peers == m_peerLoads.end() ? ReplicaLoad() : peers->second;
        m_byShortId[state->shortId] = state.get();
    }
    const bool isNewIncarnation = !isNew && state->info.residency.incarnation != backend.residency.incarnation;
    if (isNewIncarnation || state->isRemoved) {
        state->failureRate = 0;
        state->consecutiveFailures = 0;
        state->avoidUntil = Millis(0);
        state->pace = {};
    }
    if (isNewIncarnation) {
        state->hasSaidLeaving = false;
        state->pause = {};
    }
    state->isRemoved = false;
    // The entry may be older than the report of another host, so only a new incarnation overrides the report at once.
    state->isReportedLeaving = state->isReportedLeaving && !isNewIncarnation;
    if (backend.isLeaving) {
        recordLeaving(*state, now);
    } else if (!state->isReportedLeaving && !state->hasSaidLeaving) {
        state->leavingSince = Millis(-1);
    }
    state->info = std::move(backend);
    return isNewIncarnation;
}

void BackendTable::remove(const ReplicaId &id, Millis now)
{
    BackendState *state = find(id);
    if (state != nullptr && !state->isRemoved) {
        state->isRemoved = true;
        state->removedAt = now;
        recordLeaving(*state, now);
    }
}

void BackendTable::recordLeaving(BackendState &state, Millis now)
{
    if (state.leavingSince.value < 0) {
        state.leavingSince = now;
    }
}

const BackendState *BackendTable::onLeavingReported(uint32_t shortId, Millis now)
{
    const auto entry = m_byShortId.find(shortId);
    if (entry == m_byShortId.end()) {
        return nullptr;
    }
    entry->second->reportedAt = now;
    if (!entry->second->isUsable()) {
        return nullptr;
    }
    entry->second->isReportedLeaving = true;
    recordLeaving(*entry->second, now);
    return entry->second;
}

void BackendTable::onSaidLeaving(BackendState &state, Millis now)
{
    state.hasSaidLeaving = true;
    recordLeaving(state, now);
}

std::vector<uint32_t> BackendTable::recentlyLeaving(Millis now, Millis freshAsOf)
{
    std::vector<uint32_t> leaving;
    for (const auto &[id, state] : m_backends) {
        if (state->isReportedLeaving && std::min(now, freshAsOf) - state->reportedAt >= leavingRetention) {
            state->isReportedLeaving = false; // the report has expired; the entry decides
        }
        const bool isRecent = state->leavingSince.value >= 0 && now - state->leavingSince < leavingRetention;
        if (isRecent || (state->hasSaidLeaving && !state->isRemoved)) {
            leaving.push_back(state->shortId);
        }
    }
    return leaving;
}

std::vector<ReplicaId> BackendTable::purgeRemoved(Millis now)
{
    std::vector<ReplicaId> forgotten;
    for (auto entry = m_backends.begin(); entry != m_backends.end();) {
        const BackendState &state = *entry->second;
        const Millis retention = state.hasSaidLeaving ? leftRetention : removedRetention;
        if (state.isRemoved && state.own.running == 0 && now - state.removedAt > retention) {
            m_byShortId.erase(state.shortId);
            forgotten.push_back(entry->first);
            entry = m_backends.erase(entry);
        } else {
            ++entry;
        }
    }
    return forgotten;
}

BackendState *BackendTable::find(const ReplicaId &id) const
{
    const auto entry = m_backends.find(id);
    return entry == m_backends.end() ? nullptr : entry->second.get();
}

BackendState *BackendTable::findByShortId(uint32_t shortId) const
{
    const auto entry = m_byShortId.find(shortId);
    return entry == m_byShortId.end() ? nullptr : entry->second;
}

std::vector<BackendState *> BackendTable::usable(const PoolId &pool) const
{
    std::vector<BackendState *> found = inService(pool);
    std::erase_if(found, [this](const BackendState *state) {
        return isEvacuated(state->info.domain);
    });
    return found;
}

std::vector<BackendState *> BackendTable::inService(const PoolId &pool) const
{
    std::vector<BackendState *> found;
    for (const auto &[id, state] : m_backends) {
        if (state->info.pool == pool && state->isUsable()) {
            found.push_back(state.get());
        }
    }
    return found;
}

void BackendTable::setPeerUse(const HostId &host, const std::vector<ReplicaUse> &uses)
{
    std::vector<ReplicaUse> &known = m_peerUses[host];
    addPeerUse(known, -1);
    known = uses;
    addPeerUse(known, 1);
}

void BackendTable::addPeerUse(const std::vector<ReplicaUse> &uses, int64_t sign)
{
    for (const ReplicaUse &use : uses) {
        ReplicaLoad &sum = m_peerLoads[use.replica];
        sum.add(use, sign);
        const auto state = m_byShortId.find(use.replica);
        if (state != m_byShortId.end()) {
            state->second->peers = sum;
        }
        if (sum.running == 0) {
            m_peerLoads.erase(use.replica);
        }
    }
}

std::vector<ReplicaUse> BackendTable::ownUseIncluding(const std::set<HostId> &hosts) const
{
    Loads reported;
    for (const HostId &host : hosts) {
        addReported(reported, host, 1);
    }
    return report(reported, [](const BackendState &state) {
        return state.own;
    });
}

std::vector<ReplicaUse> BackendTable::totalUseExcluding(const HostId &host) const
{
    Loads reported;
    addReported(reported, host, -1);
    return report(reported, [](const BackendState &state) {
        return state.own + state.peers;
    });
}

void BackendTable::addReported(Loads &loads, const HostId &host, int64_t sign) const
{
    const auto uses = m_peerUses.find(host);
    if (uses == m_peerUses.end()) {
        return;
    }
    for (const ReplicaUse &use : uses->second) {
        loads[use.replica].add(use, sign);
    }
}

template<class BaseOf>
std::vector<ReplicaUse> BackendTable::report(const Loads &loads, BaseOf base) const
{
    std::vector<ReplicaUse> uses;
    for (const auto &[id, state] : m_backends) {
        const auto added = loads.find(state->shortId);
        const ReplicaLoad load = added == loads.end() ? base(*state) : base(*state) + added->second;
        if (load.running > 0) {
            uses.push_back({state->shortId, static_cast<uint16_t>(std::min<int64_t>(load.running, UINT16_MAX)),
                            static_cast<uint32_t>(std::max<int64_t>(load.tokens, 0)),
                            static_cast<uint32_t>(std::max<int64_t>(load.pendingPrefill, 0))});
        }
    }
    return uses;
}

void BackendTable::onSent(const ReplicaId &id, int64_t tokens, int64_t pendingPrefill, int priority)
{
    if (BackendState *state = find(id)) {
        ++state->own.running;
        state->own.tokens += tokens;
        state->own.pendingPrefill += pendingPrefill;
        state->ownPrefill[priority] += pendingPrefill;
    }
}

void BackendTable::onPromptProcessed(const ReplicaId &id, int64_t pendingPrefill, int priority)
{
    if (BackendState *state = find(id)) {
        state->own.pendingPrefill -= pendingPrefill;
        state->ownPrefill[priority] -= pendingPrefill;
    }
}

void BackendTable::onEnded(const ReplicaId &id, int64_t tokens)
{
    if (BackendState *state = find(id)) {
        --state->own.running;
        state->own.tokens -= tokens;
    }
}

void BackendTable::onAlive(const ReplicaId &id, Millis now)
{
    if (BackendState *state = find(id)) {
        state->aliveAt = now;
    }
}

void BackendTable::onSuccess(const ReplicaId &id)
{
    if (BackendState *state = find(id)) {
        state->consecutiveFailures = 0;
        state->failureRate *= 1 - newestOutcomeWeight;
    }
}

void BackendTable::onFailure(const ReplicaId &id, bool isUnreachable, Millis now)
{
    BackendState *state = find(id);
    if (state == nullptr) {
        return;
    }
    state->failureRate = state->failureRate * (1 - newestOutcomeWeight) + newestOutcomeWeight;
    ++state->consecutiveFailures;
    if (isUnreachable || state->consecutiveFailures > 1) {
        const Millis pause = backoffDelay(minAvoidance, state->consecutiveFailures - 1, maxDoublings);
        state->avoidUntil = now + std::min(pause, maxAvoidance);
    }
}

}
