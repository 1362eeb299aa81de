#include "serving/queueing/overloadcontrol.h"

#include "core/hash.h"
#include "serving/admission/admission.h"
#include "serving/interfaces/servingconfig.h"
#include "serving/queueing/activerequest.h"
#include "serving/queueing/requesttable.h"
#include "serving/queueing/waitingqueue.h"
#include "serving/replicas/backendtable.h"

#include <algorithm>
#include <utility>

namespace vanillaspar::serving
{

namespace
{

// A request that waits for longer than this for capacity shows a backlog; heartbeats and ticks alone take less.
constexpr Millis capacityWait(20);
constexpr Millis loadWait(300); // time to request an adapter and load it from the weight store
// Below this use of a pool's slots its free slots are of use to less urgent requests even if more urgent ones wait,
// for example because their adapters are resident in few replicas.
constexpr double holdingUse = 0.9;
// Above this use hosts share the free slots, so that they don't all send to the same ones. It begins earlier than
// holding, as what other hosts have sent lately isn't known.
constexpr double sharingUse = 0.85;
constexpr double maxPlainPerSlot = 3.0; // as ServiceChooser allows: one that is worked on and two queued
// A waiting request whose expected wait exceeds the rest of its time by little may still be in time, as the estimate is
// not exact.
constexpr double waitTolerance = 0.8;
constexpr double residualWork = 0.5; // mean rest of the work that occupies a slot
constexpr double newestWorkWeight = 0.05;
constexpr Millis overloadRetry(300); // about the time in which a batch completes a few of its requests
constexpr Millis overloadMemory(2000); // since the last refusal or hold, until an overload counts as ended

bool waitsForCapacity(const ActiveRequest &active)
{
    return !active.isEngine || active.availability.holders > 0;
}

}

OverloadControl::OverloadControl(const BackendTable &backends, const Admission &admission)
    : m_backends(backends), m_admission(admission)
{
}

std::vector<std::string> OverloadControl::kindsOf(const ActiveRequest &active)
{
    std::vector<std::string> kinds {"route " + active.route.text()};
    if (active.team) {
        kinds.push_back("team " + active.team->text());
    }
    return kinds;
}

void OverloadControl::onArrived(const ActiveRequest &active, Millis now)
{
    if (!m_isEnabled) {
        return;
    }
    ServiceFloor &floor = m_pools[active.pool].floor;
    floor.onPoolArrived(now);
    for (const std::string &kind : kindsOf(active)) {
        floor.onArrived(kind, now);
    }
}

void OverloadControl::onSent(const ActiveRequest &active, Millis now)
{
    if (!m_isEnabled) {
        return;
    }
    PoolState &pool = m_pools[active.pool];
    ++pool.sends;
    pool.share.onSent();
    if (now > active.request.receivedAt) {
        pool.wait.onSent();
    }
    m_counts.owed += m_owed.erase(active.request.exchange) > 0 ? 1 : 0;
    if (active.attemptCount > 1) {
        return;
    }
    pool.floor.onPoolSent(now);
    for (const std::string &kind : kindsOf(active)) {
        pool.floor.onSent(kind, now);
    }
}

void OverloadControl::onServed(const ActiveRequest &active, Millis now)
{
    if (!m_isEnabled) {
        return;
    }
    PoolState &pool = m_pools[active.pool];
    pool.share.onEnded();
    if (active.isEngine) {
        if (active.attemptCount == 1 && active.answeredAt >= active.sentAt) {
            pool.firstEvents.observe(active.prefillAhead, active.answeredAt - active.sentAt);
        }
        return;
    }
    const double work = static_cast<double>((now - active.sentAt).value) / std::max(active.replicaLoad, 1.0);
    pool.workTime += pool.workTime > 0 ? (work - pool.workTime) * newestWorkWeight : work;
}

Millis OverloadControl::shortestObjective(const PoolId &pool) const
{
    const ServingConfig *config = m_admission.config();
    if (config == nullptr) {
        return Millis(0);
    }
    if (m_objectivesOf != config->version) {
        m_objectivesOf = config->version;
        m_objectives.clear();
        for (const Route &route : config->routes) {
            for (const PoolShare &share : route.pools) {
                const auto known = m_objectives.emplace(share.pool, route.objective).first;
                known->second = std::min(known->second, route.objective);
            }
        }
    }
    const auto shortest = m_objectives.find(pool);
    return shortest == m_objectives.end() ? Millis(0) : shortest->second;
}

WaitingWork OverloadControl::workOf(const ActiveRequest &active, const PoolState &pool, Millis now) const
{
    WaitingWork work;
    work.id = active.request.exchange;
    work.hasBegun = active.isResponding();
    work.lateAfter = work.hasBegun ? active.waitDeadline : active.lateAfter;
    work.serviceTime = active.isEngine
        ? pool.firstEvents.expected(static_cast<double>(active.request.promptTokens.value))
        : Millis(static_cast<int64_t>(pool.workTime));
    const Millis shortest = shortestObjective(active.pool);
    const Millis objective = active.lateAfter - active.request.receivedAt;
    // A resumed stream counts as urgent: its caller already waits in the middle of a response.
    work.level = OverloadPolicy::levelOf(active.priority, work.hasBegun ? Millis(0) : objective, shortest,
                                         work.lateAfter - now - work.serviceTime);
    return work;
}

void OverloadControl::markOwed(WaitingWork &work, const ActiveRequest &active, PoolState &pool, Millis now)
{
    for (const std::string &kind : kindsOf(active)) {
        // The spread makes up for deficits of less than one request, which are all that a host of a large fleet sees of
        // a rare kind.
        const int marked = pool.owed[kind];
        if (pool.floor.deficit(kind, now) - marked > active.returnSpread()) {
            ++pool.owed[kind];
            work.isOwed = true;
        }
    }
}

std::vector<uint64_t> OverloadControl::order(std::vector<uint64_t> exchanges, const RequestTable &requests, Millis now)
{
    if (!m_isEnabled) {
        return exchanges;
    }
    std::map<PoolId, bool> isBacklogged;
    for (auto &[id, pool] : m_pools) {
        pool.queue.clear();
        pool.owed.clear();
        pool.own.waiting.clear();
        pool.thresholdAt = Millis(-1);
    }
    m_hopeless.clear();
    m_owed.clear();
    std::vector<WaitingWork> all;
    all.reserve(exchanges.size());
    for (const uint64_t exchange : exchanges) {
        const ActiveRequest *active = requests.find(exchange);
        if (active == nullptr) {
            continue;
        }
        PoolState &pool = m_pools[active->pool];
        WaitingWork work = workOf(*active, pool, now);
        markOwed(work, *active, pool, now);
        if (work.isOwed) {
            m_owed.insert(exchange);
        }
        if (waitsForCapacity(*active) && OverloadPolicy::canBeInTime(work, Millis(0), now)) {
            ++pool.own.waiting[work.level];
        }
        const Millis waited = now - active->request.receivedAt;
        if (waited > (waitsForCapacity(*active) ? capacityWait : loadWait)) {
            isBacklogged[active->pool] = true;
        }
        all.push_back(work);
    }
    OverloadPolicy::sort(all, now);
    std::vector<uint64_t> ordered;
    ordered.reserve(all.size());
    for (const WaitingWork &work : all) {
        ordered.push_back(work.id);
        m_pools[requests.find(work.id)->pool].queue.push_back(work);
    }
    for (auto &[id, pool] : m_pools) {
        pool.wait.observe(isBacklogged.count(id) > 0, now);
        findHopeless(pool, now);
    }
    return ordered;
}

void OverloadControl::findHopeless(const PoolState &pool, Millis now)
{
    bool canOthers = pool.others.waitingCount() > 0;
    int64_t ahead = 0;
    for (const WaitingWork &work : pool.queue) {
        const Millis wait = pool.wait.expectedWait(ahead) * waitTolerance;
        if (work.isOwed || OverloadPolicy::canBeInTime(work, wait, now)) {
            canOthers = canOthers || !work.isOwed;
            ++ahead;
        } else if (canOthers) {
            m_hopeless.insert(work.id);
        }
    }
}

bool OverloadControl::isHopeless(const ActiveRequest &active) const
{
    return active.attempt == 0 && m_hopeless.count(active.request.exchange) > 0;
}

Refusal OverloadControl::refusalOf(const ActiveRequest &active, PoolState &pool, const std::string &why, Millis now)
{
    pool.overloadedAt = now;
    ++m_counts.refused;
    const Millis drainTime = pool.wait.expectedWait(static_cast<int64_t>(pool.queue.size()));
    return {RefusalCode::Overloaded, RunState::NotRun, OverloadPolicy::retryAfter(drainTime, active.returnSpread()),
            why + "; " + std::to_string(pool.queue.size()) + " requests wait for the pool"};
}

Refusal OverloadControl::waitRefusal(const ActiveRequest &active, Millis now)
{
    if (!m_isEnabled) {
        return {RefusalCode::Overloaded, RunState::NotRun, overloadRetry, "no replica had room in time"};
    }
    return refusalOf(active, m_pools[active.pool],
                     isHopeless(active) ? "can't be in time any more" : "no replica had room in time", now);
}

std::optional<Refusal> OverloadControl::checkWait(const ActiveRequest &active, WaitingQueue &queue, Millis now)
{
    if (!m_isEnabled || active.isResponding()) {
        return queue.checkWait(active, now);
    }
    PoolState &pool = m_pools[active.pool];
    WaitingWork work = workOf(active, pool, now);
    markOwed(work, active, pool, now);
    if (work.isOwed) {
        return std::nullopt;
    }
    int64_t ahead = 0;
    bool canOthers = pool.others.waitingCount() > 0;
    for (const WaitingWork &waiting : pool.queue) {
        const bool isInTime = OverloadPolicy::canBeInTime(waiting, Millis(0), now);
        canOthers = canOthers || isInTime;
        ahead += isInTime && OverloadPolicy::isBefore(waiting, work, now) ? 1 : 0;
    }
    const Millis wait = pool.wait.expectedWait(ahead);
    const bool isTooLong = now + wait > active.waitDeadline;
    if (!isTooLong && (!canOthers || OverloadPolicy::canBeInTime(work, wait, now))) {
        return std::nullopt;
    }
    return refusalOf(active, pool, "expected wait " + std::to_string(wait.value) + " ms", now);
}

OverloadControl::SlotCounts OverloadControl::countSlots(const PoolId &id, const PoolState &pool, Millis now) const
{
    const EngineSpec *engine = m_admission.engineOf(id);
    double perSlot = 1;
    if (engine == nullptr && pool.workTime > 0) {
        const auto objective = static_cast<double>(shortestObjective(id).value);
        perSlot = std::clamp(objective / pool.workTime - residualWork, 1.0, maxPlainPerSlot);
    }
    SlotCounts counts;
    for (const BackendState *state : m_backends.usable(id)) {
        counts.all += state->info.slots;
        const bool isCacheFull = engine != nullptr && engine->cacheTokens > 0
            && state->own.tokens + state->peers.tokens >= engine->cacheTokens;
        if (!state->pause.isActive(now) && !isCacheFull) {
            const auto bound = static_cast<int64_t>(static_cast<double>(state->info.slots) * perSlot);
            counts.free += std::max<int64_t>(state->info.slots - state->running(), 0);
            counts.open += std::max<int64_t>(bound - state->running(), 0);
        }
    }
    return counts;
}

void OverloadControl::updateThreshold(const PoolId &id, PoolState &pool, Millis now) const
{
    if (pool.thresholdAt == now) {
        return;
    }
    pool.thresholdAt = now;
    PoolDemand all = pool.own;
    all += pool.others;
    const SlotCounts slots = countSlots(id, pool, now);
    const double freeShare = static_cast<double>(slots.free) / static_cast<double>(std::max<int64_t>(slots.all, 1));
    pool.isTight = freeShare <= 1 - sharingUse;
    pool.threshold = freeShare <= 1 - holdingUse ? all.threshold(slots.free) : PoolDemand::noThreshold;
}

bool OverloadControl::fitsQueue(const ActiveRequest &active, const BackendState &backend, const PoolState &pool,
                                Millis now)
{
    const double load = backend.slotLoad();
    if (active.isEngine || load < 1 || pool.workTime <= 0) {
        return true;
    }
    const Millis expected(static_cast<int64_t>(pool.workTime * (load + residualWork)));
    return now + expected <= active.lateAfter;
}

bool OverloadControl::mustHold(const ActiveRequest &active, const BackendState &backend, Millis now)
{
    if (!m_isEnabled || active.isResponding()) {
        return false;
    }
    PoolState &pool = m_pools[active.pool];
    updateThreshold(active.pool, pool, now);
    const bool isShareUsed = pool.isTight && !pool.share.isOpen();
    if (!isShareUsed && fitsQueue(active, backend, pool, now)) {
        WaitingWork work = workOf(active, pool, now);
        if (work.level <= pool.threshold || m_owed.count(work.id) > 0) {
            return false;
        }
        markOwed(work, active, pool, now);
        if (work.isOwed) {
            m_owed.insert(work.id);
            return false;
        }
    }
    pool.overloadedAt = now;
    ++m_counts.held;
    return true;
}

PoolDemands OverloadControl::takeDemands(Millis now)
{
    PoolDemands demands;
    for (auto &[id, pool] : m_pools) {
        pool.own.sends = pool.earlierSends + pool.sends;
        pool.earlierSends = std::exchange(pool.sends, 0);
        const int64_t ownDemand = pool.own.waitingCount() + pool.own.sends;
        const int64_t allDemand = ownDemand + pool.others.waitingCount() + pool.others.sends;
        pool.share.beginRound(countSlots(id, pool, now).open, ownDemand, allDemand, m_backends.reportAge());
        pool.thresholdAt = Millis(-1);
        if (pool.own.sends > 0 || pool.own.waitingCount() > 0) {
            demands[shortHash(id.text())] = pool.own;
        }
    }
    std::erase_if(m_pools, [&](const auto &entry) {
        return m_admission.config() != nullptr && m_admission.config()->pools.count(entry.first) == 0
            && entry.second.queue.empty() && now - entry.second.overloadedAt > overloadMemory;
    });
    return demands;
}

void OverloadControl::setOtherDemands(PoolDemands demands)
{
    for (auto &[id, pool] : m_pools) {
        pool.others = std::move(demands[shortHash(id.text())]);
        pool.thresholdAt = Millis(-1);
    }
}

std::map<PoolId, int64_t> OverloadControl::overloadedPools(Millis now) const
{
    std::map<PoolId, int64_t> pools;
    for (const auto &[id, pool] : m_pools) {
        if (now - pool.overloadedAt <= overloadMemory) {
            pools[id] = pool.own.waitingCount() + pool.others.waitingCount();
        }
    }
    return pools;
}

}
