#include "node/replicaowner.h"

#include "backend/backendcall.h"
#include "backend/backendlink.h"
#include "config/activeconfig.h"
#include "core/clock.h"
#include "core/eventlog.h"
#include "node/intentkeeper.h"
#include "node/nodesettings.h"
#include "node/quotakeeper.h"
#include "node/worksink.h"
#include "policy/backoff.h"

#include <algorithm>

namespace vanillaspar
{

namespace
{

constexpr Millis statePollInterval(1000);
constexpr Millis loadTicketTimeout(10'000); // longest wait for the weight store's rate limit
constexpr Millis orderTimeout(10'000);
constexpr Millis firstBackoff(500);
constexpr int maxBackoffDoublings = 6;
constexpr int failuresBeforeReturn = 2;
constexpr size_t maxPendingLoadsPerTeam = 2; // on one replica
constexpr Millis starvationLimit(500); // wait for a slot after which a busy adapter is drained
constexpr Millis minTimeLeft(50); // with less time left a request is refused
constexpr size_t minIntents = 4; // recorded in advance for each replica
constexpr double overShareWeight = 0.25;

}

ReplicaOwner::ReplicaOwner(OwnerContext context, Replica replica, Ownership ownership)
    : m_context(context)
    , m_replica(std::move(replica))
    , m_ownership(std::move(ownership))
    , m_residency(context.settings.reportLag)
    , m_queue(context.order)
    , m_lifetime(std::make_shared<bool>(true))
{
    takeOver();
}

void ReplicaOwner::takeOver()
{
    m_isFenced = !m_replica.checksFencingNumber;
    m_pendingIntentReads = m_replica.checksFencingNumber ? 0 : m_ownership.possiblyLiveOwners.size();
    for (size_t i = 0; i < m_pendingIntentReads; ++i) {
        const PossiblyLiveOwner &old = m_ownership.possiblyLiveOwners[i];
        m_context.intents.read(
            old.host, old.incarnation, m_replica.id,
            [this, old, alive = std::weak_ptr<bool>(m_lifetime)](const std::set<AdapterRef> &adapters) {
                if (!alive.expired()) {
                    m_blockedByFormerOwners.emplace_back(old, adapters);
                    --m_pendingIntentReads;
                }
            });
    }
    m_context.log.record(EventCode::ReplicaTakenOver, m_replica.id.text(),
                         "epoch " + std::to_string(m_ownership.epoch.value));
    tick();
}

void ReplicaOwner::setReplica(const Replica &replica)
{
    m_replica = replica;
}

void ReplicaOwner::setPossiblyLiveOwners(const std::vector<PossiblyLiveOwner> &possiblyLiveOwners)
{
    std::erase_if(m_blockedByFormerOwners, [&](const auto &blocked) {
        return std::find(possiblyLiveOwners.begin(), possiblyLiveOwners.end(), blocked.first)
            == possiblyLiveOwners.end();
    });
}

bool ReplicaOwner::isBlocked(const AdapterRef &adapter) const
{
    const auto lateUnload = m_lateUnloadUntil.find(adapter);
    if (lateUnload != m_lateUnloadUntil.end() && lateUnload->second > m_context.clock.now()) {
        return true;
    }
    return m_pendingIntentReads > 0
        || std::any_of(m_blockedByFormerOwners.begin(), m_blockedByFormerOwners.end(), [&](const auto &blocked) {
               return blocked.second.count(adapter) > 0;
           });
}

TeamId ReplicaOwner::teamOf(const AdapterRef &adapter) const
{
    const Adapter *found = m_context.config == nullptr ? nullptr : m_context.config->findAdapter(adapter);
    return found == nullptr ? TeamId() : found->team;
}

void ReplicaOwner::enqueue(const WorkRequest &work, const std::string &replyTo)
{
    const std::pair<RequestId, uint32_t> key(work.request, work.attempt);
    if (m_itemByRequest.count(key) > 0) {
        return; // a duplicate message
    }
    const uint64_t id = m_context.nextCall++;
    const Millis now = m_context.clock.now();
    m_itemByRequest[key] = id;
    const bool needsLoad = !m_residency.isUsable(work.adapter);
    m_items[id] = {work, replyTo, now + work.timeLeft, now, Millis(0), 0, false, needsLoad};
    if (m_isRetired || isBlocked(work.adapter)) {
        finish(id, WorkEnd::Result::NotExecuted, RefusalCode::NoReplica, 0, Tokens(0));
        return;
    }
    m_popularity.recordUse(work.adapter, now);
    m_queue.push(id, work.team, work.adapter, work.cost, work.isInteractive, now);
    dispatch();
    planLoads();
}

void ReplicaOwner::cancel(const RequestId &request, uint32_t attempt)
{
    const auto found = m_itemByRequest.find({request, attempt});
    if (found == m_itemByRequest.end()) {
        return;
    }
    Item &item = m_items.at(found->second);
    if (item.call != 0) {
        m_context.backends.cancel(item.call);
        markPossiblyRunning(item.work.adapter); // the engine may go on for a short time
    }
    item.replyTo.clear();
    finish(found->second, WorkEnd::Result::Broken, RefusalCode::BackendFailed, 0, Tokens(0));
}

void ReplicaOwner::tick()
{
    const Millis now = m_context.clock.now();
    if (!m_isRetired && !m_isFenced && m_fenceCall == 0) {
        sendFence();
    }
    if (!m_isRetired && m_isFenced && m_statePollCall == 0 && now >= m_nextStatePollAt) {
        pollState();
    }
    if (m_statePollCall != 0 && now - m_stateRequestedAt > orderTimeout) {
        m_statePollCall = 0;
    }
    expireOverdue();
    if (!m_isRetired) {
        dispatch();
        planLoads();
        recordIntentsAhead();
    }
}

void ReplicaOwner::sendFence()
{
    m_fenceCall = m_context.nextCall++;
    m_context.backends.submit(
        {m_fenceCall, m_replica.id, m_replica.address, OrderCall {OrderCall::Order::Fence, {}, m_ownership.epoch}});
}

void ReplicaOwner::pollState()
{
    m_statePollCall = m_context.nextCall++;
    m_stateRequestedAt = m_context.clock.now();
    m_nextStatePollAt = m_stateRequestedAt + statePollInterval;
    m_context.backends.submit({m_statePollCall, m_replica.id, m_replica.address, StateCall {}});
}

void ReplicaOwner::dispatch()
{
    if (!m_isReady || m_isRetired) {
        return;
    }
    std::vector<uint64_t> sendable;
    for (const FairQueue::Entry &entry : m_queue.entries()) {
        if (m_running + static_cast<int64_t>(sendable.size()) >= m_replica.batchSize) {
            break;
        }
        if (m_residency.isUsable(entry.adapter) && !isBlocked(entry.adapter)) {
            sendable.push_back(entry.item);
        }
    }
    for (uint64_t id : sendable) {
        send(id, m_items.at(id));
    }
}

void ReplicaOwner::send(uint64_t id, Item &item)
{
    const Millis now = m_context.clock.now();
    const bool isKeyRevoked
        = !item.work.key.isEmpty() && m_context.config != nullptr && !m_context.config->hasKey(item.work.key);
    if (isKeyRevoked) {
        finish(id, WorkEnd::Result::Refused, RefusalCode::Unauthenticated, 0, Tokens(0));
        return;
    }
    m_queue.dispatch(id);
    item.call = m_context.nextCall++;
    item.loadWait = item.needsLoad ? now - item.queuedAt : Millis(0);
    m_itemByCall[item.call] = id;
    m_residency.addRunning(item.work.adapter, 1);
    ++m_running;
    m_context.backends.submit(
        {item.call, m_replica.id, m_replica.address,
         GenerateCall {item.work.request, item.work.adapter, item.work.prompt, item.work.maxTokens,
                       item.work.resumeFrom, item.work.isInteractive, m_ownership.epoch}});
}

void ReplicaOwner::planLoads()
{
    if (!m_isReady || m_isRetired) {
        return;
    }
    for (const AdapterRef &adapter : chooseLoads()) {
        startLoad(adapter);
    }
    std::vector<AdapterRef> waiting;
    for (const auto &[adapter, load] : m_loads) {
        if (load.stage == PendingLoad::Stage::AwaitingSlot) {
            waiting.push_back(adapter);
        }
    }
    if (waiting.empty()) {
        cancelDraining();
    }
    for (const AdapterRef &adapter : waiting) {
        advanceLoad(adapter);
    }
}

std::vector<AdapterRef> ReplicaOwner::chooseLoads() const
{
    // Limits the pending loads of each team, so that one with many unloaded adapters doesn't block the others.
    std::map<TeamId, size_t> pendingLoads;
    for (const auto &[adapter, load] : m_loads) {
        ++pendingLoads[teamOf(adapter)];
    }
    const Millis now = m_context.clock.now();
    std::vector<AdapterRef> chosen;
    for (const FairQueue::Entry &entry : m_queue.entries()) {
        if (m_residency.find(entry.adapter) != nullptr || m_loads.count(entry.adapter) > 0
            || pendingLoads[entry.team] >= maxPendingLoadsPerTeam) {
            continue;
        }
        const auto backoff = m_backoffs.find(entry.adapter);
        const bool isBackedOff = backoff != m_backoffs.end() && backoff->second.until > now;
        const bool isChosen = std::find(chosen.begin(), chosen.end(), entry.adapter) != chosen.end();
        if (!isBackedOff && !isChosen) {
            chosen.push_back(entry.adapter);
            ++pendingLoads[entry.team];
        }
    }
    return chosen;
}

void ReplicaOwner::startLoad(const AdapterRef &adapter)
{
    const uint64_t ticket = m_context.nextCall++;
    m_loads[adapter] = {PendingLoad::Stage::AwaitingTicket, ticket, 0, false};
    m_context.quota.requestLoad(
        ticket, teamOf(adapter), m_context.clock.now() + loadTicketTimeout,
        [this, adapter, ticket, alive = std::weak_ptr<bool>(m_lifetime)](bool isGranted, Millis) {
            const auto load = alive.expired() ? m_loads.end() : m_loads.find(adapter);
            if (alive.expired() || load == m_loads.end() || load->second.ticket != ticket) {
                return;
            }
            load->second.isTicketHeld = isGranted;
            if (!isGranted) {
                m_loads.erase(load);
                return;
            }
            load->second.stage = PendingLoad::Stage::AwaitingSlot;
            advanceLoad(adapter);
        });
}

void ReplicaOwner::advanceLoad(const AdapterRef &adapter)
{
    PendingLoad &load = m_loads.at(adapter);
    if (!m_queue.hasEntryFor(adapter)) {
        cancelPendingLoad(adapter);
        return;
    }
    if (m_residency.slotsTaken() >= m_replica.slots && !freeSlot(adapter)) {
        return;
    }
    load.stage = PendingLoad::Stage::OrderSent;
    load.call = sendOrder(adapter, true);
}

bool ReplicaOwner::freeSlot(const AdapterRef &wanted)
{
    const bool isUnloading = std::any_of(m_orders.begin(), m_orders.end(), [](const auto &order) {
        return !order.second.isLoad;
    });
    if (isUnloading) {
        return false;
    }
    const std::optional<AdapterRef> candidate = chooseEvictionCandidate(wanted);
    if (!candidate) {
        drainLeastUsed(wanted);
        return false;
    }
    if (!m_replica.checksFencingNumber && !m_context.intents.isRecorded(m_replica.id, *candidate)) {
        m_context.intents.add(m_replica.id, *candidate);
        return false;
    }
    sendOrder(*candidate, false);
    return false;
}

std::optional<AdapterRef> ReplicaOwner::chooseEvictionCandidate(const AdapterRef &wanted)
{
    const Millis now = m_context.clock.now();
    std::map<TeamId, int64_t> held;
    for (const auto &[adapter, entry] : m_residency.entries()) {
        ++held[teamOf(adapter)];
    }
    ++held[teamOf(wanted)];
    const int64_t fairShare = std::max<int64_t>(1, m_replica.slots / static_cast<int64_t>(held.size()));
    std::optional<AdapterRef> best;
    double bestScore = 0;
    for (const auto &[adapter, entry] : m_residency.entries()) {
        const bool isDraining = entry.state == Residency::State::Draining;
        const bool isEvictable = entry.state == Residency::State::Resident || isDraining;
        if (!isEvictable || !m_residency.isIdle(adapter, now) || (m_queue.hasEntryFor(adapter) && !isDraining)) {
            continue;
        }
        double score
            = m_popularity.decayedUses(adapter, now) * (held[teamOf(adapter)] > fairShare ? overShareWeight : 1.0);
        // While the store is down only recorded intents can be used, so recorded adapters are preferred.
        if (!m_replica.checksFencingNumber && !m_context.intents.isRecorded(m_replica.id, adapter)) {
            score += 1;
        }
        if (isDraining) {
            score = -1;
        }
        if (!best || score < bestScore) {
            best = adapter;
            bestScore = score;
        }
    }
    return best;
}

void ReplicaOwner::drainLeastUsed(const AdapterRef &wanted)
{
    const Millis now = m_context.clock.now();
    const bool isDraining
        = std::any_of(m_residency.entries().begin(), m_residency.entries().end(), [](const auto &entry) {
              return entry.second.state == Residency::State::Draining;
          });
    const auto waiting
        = std::find_if(m_queue.entries().begin(), m_queue.entries().end(), [&](const FairQueue::Entry &entry) {
              return entry.adapter == wanted;
          });
    if (isDraining || waiting == m_queue.entries().end() || now - waiting->queuedAt < starvationLimit) {
        return;
    }
    const AdapterRef *least = nullptr;
    for (const auto &[adapter, entry] : m_residency.entries()) {
        if (entry.state != Residency::State::Resident) {
            continue;
        }
        if (least == nullptr || m_popularity.decayedUses(adapter, now) < m_popularity.decayedUses(*least, now)) {
            least = &adapter;
        }
    }
    if (least != nullptr) {
        m_residency.setState(AdapterRef(*least), Residency::State::Draining, now);
    }
}

void ReplicaOwner::cancelDraining()
{
    // No load waits for a slot any more, so the draining adapters get requests again.
    std::vector<AdapterRef> draining;
    for (const auto &[adapter, entry] : m_residency.entries()) {
        if (entry.state == Residency::State::Draining) {
            draining.push_back(adapter);
        }
    }
    for (const AdapterRef &adapter : draining) {
        m_residency.setState(adapter, Residency::State::Resident, m_context.clock.now());
    }
    if (!draining.empty()) {
        dispatch();
    }
}

void ReplicaOwner::recordIntentsAhead()
{
    if (m_replica.checksFencingNumber || !m_isReady || m_residency.slotsTaken() < m_replica.slots) {
        return;
    }
    const Millis now = m_context.clock.now();
    std::vector<std::pair<double, AdapterRef>> coldest;
    size_t covered = 0;
    for (const auto &[adapter, entry] : m_residency.entries()) {
        if (m_context.intents.intentsFor(m_replica.id).count(adapter) > 0) {
            ++covered;
        } else {
            coldest.emplace_back(m_popularity.decayedUses(adapter, now), adapter);
        }
    }
    // Intents for half of the slots let loads go on for a while when the store is down.
    const size_t reserve = std::max(minIntents, static_cast<size_t>(m_replica.slots) / 2);
    if (covered >= reserve / 2) {
        return;
    }
    std::sort(coldest.begin(), coldest.end());
    for (size_t i = 0; i < coldest.size() && covered < reserve; ++i, ++covered) {
        m_context.intents.add(m_replica.id, coldest[i].second);
    }
}

uint64_t ReplicaOwner::sendOrder(const AdapterRef &adapter, bool isLoad)
{
    const uint64_t call = m_context.nextCall++;
    const Millis now = m_context.clock.now();
    m_residency.setState(adapter, isLoad ? Residency::State::Loading : Residency::State::Unloading, now);
    m_orders[call] = {adapter, isLoad, now};
    const OrderCall::Order order = isLoad ? OrderCall::Order::Load : OrderCall::Order::Unload;
    m_context.backends.submit({call, m_replica.id, m_replica.address, OrderCall {order, adapter, m_ownership.epoch}});
    return call;
}

void ReplicaOwner::cancelPendingLoad(const AdapterRef &adapter)
{
    const auto load = m_loads.find(adapter);
    if (load->second.isTicketHeld) {
        m_context.quota.settle(load->second.ticket, QuotaKeeper::tokensPerLoad);
    } else {
        m_context.quota.cancel(load->second.ticket);
    }
    m_loads.erase(load);
}

void ReplicaOwner::failLoad(const AdapterRef &adapter, const std::string &reason)
{
    m_loads.erase(adapter);
    Backoff &backoff = m_backoffs[adapter];
    ++backoff.failures;
    backoff.until = m_context.clock.now() + backoffDelay(firstBackoff, backoff.failures - 1, maxBackoffDoublings);
    m_context.log.record(EventCode::LoadFailed, m_replica.id.text(), adapter.text() + ": " + reason);
    if (backoff.failures < failuresBeforeReturn) {
        return;
    }
    returnQueued(adapter, RefusalCode::LoadFailed);
}

void ReplicaOwner::expireOverdue()
{
    const Millis now = m_context.clock.now();
    std::vector<uint64_t> overdue;
    for (const FairQueue::Entry &entry : m_queue.entries()) {
        if (m_items.at(entry.item).deadlineAt < now + minTimeLeft) {
            overdue.push_back(entry.item);
        }
    }
    for (uint64_t id : overdue) {
        finish(id, WorkEnd::Result::Refused, RefusalCode::DeadlineTooShort, 0, Tokens(0));
    }
    std::vector<uint64_t> expired;
    for (const auto &[id, item] : m_items) {
        if (item.call != 0 && item.deadlineAt + orderTimeout < now) {
            expired.push_back(id);
        }
    }
    for (uint64_t id : expired) {
        m_context.backends.cancel(m_items.at(id).call);
        markPossiblyRunning(m_items.at(id).work.adapter);
        finish(id, WorkEnd::Result::Broken, RefusalCode::DeadlineTooShort, 0, Tokens(0));
    }
    std::vector<uint64_t> unanswered;
    for (const auto &[call, order] : m_orders) {
        if (order.sentAt + orderTimeout < now) {
            unanswered.push_back(call);
        }
    }
    for (uint64_t call : unanswered) {
        m_context.backends.cancel(call);
        onOrderEvent(call, {call, m_replica.id, Broken {}});
    }
    std::erase_if(m_lateUnloadUntil, [now](const auto &entry) {
        return entry.second <= now;
    });
}

bool ReplicaOwner::onBackendEvent(const BackendEvent &event)
{
    if (event.call == m_fenceCall && m_fenceCall != 0) {
        m_fenceCall = 0;
        m_isFenced = std::holds_alternative<OrderDone>(event.what);
        return true;
    }
    if (event.call == m_statePollCall && m_statePollCall != 0) {
        m_statePollCall = 0;
        if (const auto *report = std::get_if<StateReport>(&event.what)) {
            onState(*report);
        } else {
            onStatePollFailed();
        }
        return true;
    }
    if (m_orders.count(event.call) > 0) {
        onOrderEvent(event.call, event);
        return true;
    }
    const auto item = m_itemByCall.find(event.call);
    if (item == m_itemByCall.end()) {
        return false;
    }
    onItemEvent(item->second, event);
    return true;
}

void ReplicaOwner::onState(const StateReport &report)
{
    const Millis now = m_context.clock.now();
    if (report.incarnation != m_engineIncarnation) {
        onEngineRestarted(report.incarnation);
    }
    m_residency.apply(report, m_stateRequestedAt, now, now + m_context.settings.longestDeadline);
    if (!m_isReady) {
        // A former owner's requests may be running or in flight for any resident adapter.
        for (const auto &[adapter, active] : report.adapters) {
            markPossiblyRunning(adapter);
        }
        m_isReady = true;
    }
    dispatch();
    planLoads();
}

void ReplicaOwner::onEngineRestarted(const Incarnation &incarnation)
{
    if (!m_engineIncarnation.isEmpty()) {
        m_context.log.record(EventCode::ReplicaRestarted, m_replica.id.text(), incarnation.text());
        m_residency.clear();
        m_lateUnloadUntil.clear();
        m_isReady = false;
        m_isFenced = !m_replica.checksFencingNumber;
        // Orders sent to the old incarnation are dropped with their loads; loads without an order go on.
        std::erase_if(m_orders, [&](const auto &order) {
            m_loads.erase(order.second.adapter);
            return true;
        });
    }
    m_engineIncarnation = incarnation;
}

void ReplicaOwner::onStatePollFailed()
{
    if (m_queue.isEmpty()) {
        return;
    }
    m_context.log.record(EventCode::ReplicaUnreachable, m_replica.id.text(), "no state report");
    returnQueued(std::nullopt, RefusalCode::NoReplica);
}

void ReplicaOwner::onOrderEvent(uint64_t call, const BackendEvent &event)
{
    const OrderInFlight order = m_orders.at(call);
    m_orders.erase(call);
    const Millis now = m_context.clock.now();
    if (std::holds_alternative<OrderDone>(event.what)) {
        if (order.isLoad) {
            m_residency.setState(order.adapter, Residency::State::Resident, now);
            m_loads.erase(order.adapter);
            m_backoffs.erase(order.adapter);
            m_context.log.record(EventCode::AdapterLoaded, m_replica.id.text(), order.adapter.text());
        } else {
            m_residency.remove(order.adapter);
            m_context.log.record(EventCode::AdapterUnloaded, m_replica.id.text(), order.adapter.text());
        }
    } else if (std::holds_alternative<Broken>(event.what)) {
        // The order may still arrive. Without a fencing check nothing can stop it, so after an unload the adapter
        // gets no requests until it can't arrive any more.
        m_residency.setState(order.adapter, Residency::State::Uncertain, now);
        if (!order.isLoad) {
            m_lateUnloadUntil[order.adapter] = now + m_context.settings.maxOrderDelay;
            returnQueued(order.adapter, RefusalCode::NoReplica);
        } else {
            failLoad(order.adapter, "no answer");
        }
    } else {
        const auto *rejected = std::get_if<Rejected>(&event.what);
        if (order.isLoad) {
            m_residency.remove(order.adapter);
            failLoad(order.adapter, rejected == nullptr ? "not sent" : rejected->detail);
        } else {
            m_residency.setState(order.adapter, Residency::State::Resident, now);
        }
    }
    dispatch();
    planLoads();
}

void ReplicaOwner::onItemEvent(uint64_t id, const BackendEvent &event)
{
    Item &item = m_items.at(id);
    if (const auto *piece = std::get_if<Piece>(&event.what)) {
        item.hasAnswered = true;
        if (piece->adapter != item.work.adapter) {
            // Output of another adapter must never reach the caller.
            m_context.backends.cancel(item.call);
            markPossiblyRunning(item.work.adapter);
            m_context.log.record(EventCode::AnswerDropped, item.work.request.text(), piece->adapter.text());
            finish(id, WorkEnd::Result::Broken, RefusalCode::BackendFailed, 0, Tokens(0));
            return;
        }
        m_context.sink.deliver(
            item.replyTo, WorkPiece {item.work.request, item.work.attempt, piece->adapter, piece->index, piece->text});
        return;
    }
    if (const auto *generated = std::get_if<Generated>(&event.what)) {
        finish(id, WorkEnd::Result::Complete, RefusalCode::BackendFailed, generated->pieces, generated->used);
    } else if (std::holds_alternative<NotSent>(event.what)) {
        finish(id, WorkEnd::Result::NotExecuted, RefusalCode::NoReplica, 0, Tokens(0));
    } else if (const auto *rejected = std::get_if<Rejected>(&event.what)) {
        if (rejected->reason == Rejected::Reason::NotResident) {
            m_residency.setState(item.work.adapter, Residency::State::Uncertain, m_context.clock.now());
        }
        finish(id, WorkEnd::Result::NotExecuted, RefusalCode::NoReplica, 0, Tokens(0));
    } else {
        markPossiblyRunning(item.work.adapter);
        finish(id, WorkEnd::Result::Broken, RefusalCode::BackendFailed, 0, Tokens(0));
    }
    dispatch();
    planLoads();
}

void ReplicaOwner::markPossiblyRunning(const AdapterRef &adapter)
{
    const Millis now = m_context.clock.now();
    m_residency.markBusy(adapter, now, now + m_context.settings.longestDeadline);
}

void ReplicaOwner::finish(uint64_t id, WorkEnd::Result result, RefusalCode code, uint64_t pieces, Tokens used)
{
    const Item item = std::move(m_items.at(id));
    m_items.erase(id);
    m_itemByRequest.erase({item.work.request, item.work.attempt});
    if (item.call != 0) {
        m_itemByCall.erase(item.call);
        m_residency.addRunning(item.work.adapter, -1);
        --m_running;
    } else {
        m_queue.remove(id);
    }
    if (!item.replyTo.empty()) {
        m_context.sink.deliver(
            item.replyTo, WorkEnd {item.work.request, item.work.attempt, result, pieces, used, item.loadWait, code});
    }
}

void ReplicaOwner::returnQueued(const std::optional<AdapterRef> &adapter, RefusalCode code)
{
    std::vector<uint64_t> queued;
    for (const FairQueue::Entry &entry : m_queue.entries()) {
        if (!adapter || entry.adapter == *adapter) {
            queued.push_back(entry.item);
        }
    }
    for (uint64_t id : queued) {
        finish(id, WorkEnd::Result::NotExecuted, code, 0, Tokens(0));
    }
}

void ReplicaOwner::retire()
{
    if (m_isRetired) {
        return;
    }
    m_isRetired = true;
    returnQueued(std::nullopt, RefusalCode::NoReplica);
    std::vector<AdapterRef> waiting;
    for (const auto &[adapter, load] : m_loads) {
        if (load.stage != PendingLoad::Stage::OrderSent) {
            waiting.push_back(adapter);
        }
    }
    for (const AdapterRef &adapter : waiting) {
        cancelPendingLoad(adapter);
    }
    m_context.log.record(EventCode::ReplicaReleased, m_replica.id.text(),
                         "epoch " + std::to_string(m_ownership.epoch.value));
}

bool ReplicaOwner::isReleasable() const
{
    const bool hasUnansweredRequest = std::any_of(m_items.begin(), m_items.end(), [](const auto &item) {
        return item.second.call != 0 && !item.second.hasAnswered;
    });
    return m_isRetired && !hasUnansweredRequest && m_orders.empty() && m_lateUnloadUntil.empty();
}

}
