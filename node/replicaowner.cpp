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

constexpr Millis stateInterval(1000);
constexpr Millis ticketPatience(10'000); // how long a load waits for the weight store's rate
constexpr Millis orderTimeout(10'000);
constexpr Millis firstBackoff(500);
constexpr int maxBackoffDoublings = 6;
constexpr int failuresBeforeBounce = 2;
constexpr size_t ticketsPerTeam = 2; // on one replica
constexpr Millis starvationLimit(500); // wait for a slot after which a used adapter is closed
constexpr Millis shortestUseful(50); // time left below which a request isn't sent
constexpr size_t leastIntents = 4; // adapters recorded for each replica
constexpr double overPortionWeight = 0.25;

}

ReplicaOwner::ReplicaOwner(OwnerContext context, Replica replica, Ownership ownership)
    : m_context(context)
    , m_replica(std::move(replica))
    , m_ownership(std::move(ownership))
    , m_residency(context.settings.reportLag)
    , m_queue(context.order)
    , m_isAlive(std::make_shared<bool>(true))
{
    takeOver();
}

void ReplicaOwner::takeOver()
{
    m_isFenced = !m_replica.checksFencingNumber;
    m_unreadBars = m_replica.checksFencingNumber ? 0 : m_ownership.possiblyLiveOwners.size();
    for (size_t i = 0; i < m_unreadBars; ++i) {
        const PossiblyLiveOwner &old = m_ownership.possiblyLiveOwners[i];
        m_context.intents.read(
            old.host, old.incarnation, m_replica.id,
            [this, old, alive = std::weak_ptr<bool>(m_isAlive)](const std::set<AdapterRef> &adapters) {
                if (!alive.expired()) {
                    m_bars.emplace_back(old, adapters);
                    --m_unreadBars;
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

void ReplicaOwner::setUnproven(const std::vector<PossiblyLiveOwner> &stillUnproven)
{
    std::erase_if(m_bars, [&](const auto &bar) {
        return std::find(stillUnproven.begin(), stillUnproven.end(), bar.first) == stillUnproven.end();
    });
}

bool ReplicaOwner::isBarred(const AdapterRef &adapter) const
{
    const auto stray = m_strayUntil.find(adapter);
    if (stray != m_strayUntil.end() && stray->second > m_context.clock.now()) {
        return true;
    }
    return m_unreadBars > 0 || std::any_of(m_bars.begin(), m_bars.end(), [&](const auto &bar) {
               return bar.second.count(adapter) > 0;
           });
}

TeamId ReplicaOwner::teamOf(const AdapterRef &adapter) const
{
    const Adapter *found = m_context.config == nullptr ? nullptr : m_context.config->findAdapter(adapter);
    return found == nullptr ? TeamId() : found->team;
}

void ReplicaOwner::enqueue(const WorkRequest &work, const std::string &replyTo)
{
    const std::pair<RequestId, uint32_t> name(work.request, work.attempt);
    if (m_itemByRequest.count(name) > 0) {
        return; // a doubled message
    }
    const uint64_t id = m_context.nextCall++;
    const Millis now = m_context.clock.now();
    m_itemByRequest[name] = id;
    const bool needsLoad = !m_residency.isUsable(work.adapter);
    m_items[id] = {work, replyTo, now + work.timeLeft, now, Millis(0), 0, false, needsLoad};
    if (m_isRetired || isBarred(work.adapter)) {
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
        markPossiblyRunning(item.work.adapter); // the engine may run it a little longer
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
    if (!m_isRetired && m_isFenced && m_stateCall == 0 && now >= m_nextStateAt) {
        pollState();
    }
    if (m_stateCall != 0 && now - m_stateAskedAt > orderTimeout) {
        m_stateCall = 0;
    }
    dropOverdue();
    if (!m_isRetired) {
        dispatch();
        planLoads();
        reserveIntents();
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
    m_stateCall = m_context.nextCall++;
    m_stateAskedAt = m_context.clock.now();
    m_nextStateAt = m_stateAskedAt + stateInterval;
    m_context.backends.submit({m_stateCall, m_replica.id, m_replica.address, StateCall {}});
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
        if (m_residency.isUsable(entry.adapter) && !isBarred(entry.adapter)) {
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
    const bool isWithdrawn
        = !item.work.key.isEmpty() && m_context.config != nullptr && !m_context.config->hasKey(item.work.key);
    if (isWithdrawn) {
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
        if (load.stage == Load::Stage::Slot) {
            waiting.push_back(adapter);
        }
    }
    if (waiting.empty()) {
        reopenClosing();
    }
    for (const AdapterRef &adapter : waiting) {
        advanceLoad(adapter);
    }
}

std::vector<AdapterRef> ReplicaOwner::chooseLoads() const
{
    // Each team may wait for some tickets, so that one with many cold adapters doesn't stand before the others.
    std::map<TeamId, size_t> tickets;
    for (const auto &[adapter, load] : m_loads) {
        ++tickets[teamOf(adapter)];
    }
    const Millis now = m_context.clock.now();
    std::vector<AdapterRef> chosen;
    for (const FairQueue::Entry &entry : m_queue.entries()) {
        if (m_residency.find(entry.adapter) != nullptr || m_loads.count(entry.adapter) > 0
            || tickets[entry.team] >= ticketsPerTeam) {
            continue;
        }
        const auto backoff = m_backoffs.find(entry.adapter);
        const bool isBackedOff = backoff != m_backoffs.end() && backoff->second.until > now;
        const bool isChosen = std::find(chosen.begin(), chosen.end(), entry.adapter) != chosen.end();
        if (!isBackedOff && !isChosen) {
            chosen.push_back(entry.adapter);
            ++tickets[entry.team];
        }
    }
    return chosen;
}

void ReplicaOwner::startLoad(const AdapterRef &adapter)
{
    const uint64_t ticket = m_context.nextCall++;
    m_loads[adapter] = {Load::Stage::Ticket, ticket, 0, false};
    m_context.quota.requestLoad(
        ticket, teamOf(adapter), m_context.clock.now() + ticketPatience,
        [this, adapter, ticket, alive = std::weak_ptr<bool>(m_isAlive)](bool isGranted, Millis) {
            const auto load = alive.expired() ? m_loads.end() : m_loads.find(adapter);
            if (alive.expired() || load == m_loads.end() || load->second.ticket != ticket) {
                return;
            }
            load->second.isTicketHeld = isGranted;
            if (!isGranted) {
                m_loads.erase(load);
                return;
            }
            load->second.stage = Load::Stage::Slot;
            advanceLoad(adapter);
        });
}

void ReplicaOwner::advanceLoad(const AdapterRef &adapter)
{
    Load &load = m_loads.at(adapter);
    if (!m_queue.hasEntryFor(adapter)) {
        abandonLoad(adapter);
        return;
    }
    if (m_residency.slotsTaken() >= m_replica.slots && !makeRoom(adapter)) {
        return;
    }
    load.stage = Load::Stage::Order;
    load.call = sendOrder(adapter, true);
}

bool ReplicaOwner::makeRoom(const AdapterRef &wanted)
{
    const bool isUnloading = std::any_of(m_orders.begin(), m_orders.end(), [](const auto &order) {
        return !order.second.isLoad;
    });
    if (isUnloading) {
        return false;
    }
    const std::optional<AdapterRef> victim = chooseVictim(wanted);
    if (!victim) {
        closeOne(wanted);
        return false;
    }
    if (!m_replica.checksFencingNumber && !m_context.intents.covers(m_replica.id, *victim)) {
        m_context.intents.add(m_replica.id, *victim);
        return false;
    }
    sendOrder(*victim, false);
    return false;
}

std::optional<AdapterRef> ReplicaOwner::chooseVictim(const AdapterRef &wanted)
{
    const Millis now = m_context.clock.now();
    std::map<TeamId, int64_t> held;
    for (const auto &[adapter, entry] : m_residency.entries()) {
        ++held[teamOf(adapter)];
    }
    ++held[teamOf(wanted)];
    const int64_t portion = std::max<int64_t>(1, m_replica.slots / static_cast<int64_t>(held.size()));
    std::optional<AdapterRef> best;
    double bestScore = 0;
    for (const auto &[adapter, entry] : m_residency.entries()) {
        const bool isClosing = entry.state == Residency::State::Closing;
        const bool isEvictable = entry.state == Residency::State::Resident || isClosing;
        if (!isEvictable || !m_residency.isIdle(adapter, now) || (m_queue.hasEntryFor(adapter) && !isClosing)) {
            continue;
        }
        double score
            = m_popularity.decayedUses(adapter, now) * (held[teamOf(adapter)] > portion ? overPortionWeight : 1.0);
        // In an outage only recorded intents can be used, so among similar victims they go first.
        if (!m_replica.checksFencingNumber && !m_context.intents.covers(m_replica.id, adapter)) {
            score += 1;
        }
        if (isClosing) {
            score = -1;
        }
        if (!best || score < bestScore) {
            best = adapter;
            bestScore = score;
        }
    }
    return best;
}

void ReplicaOwner::closeOne(const AdapterRef &wanted)
{
    const Millis now = m_context.clock.now();
    const bool isClosing
        = std::any_of(m_residency.entries().begin(), m_residency.entries().end(), [](const auto &entry) {
              return entry.second.state == Residency::State::Closing;
          });
    const auto waiting
        = std::find_if(m_queue.entries().begin(), m_queue.entries().end(), [&](const FairQueue::Entry &entry) {
              return entry.adapter == wanted;
          });
    if (isClosing || waiting == m_queue.entries().end() || now - waiting->queuedAt < starvationLimit) {
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
        m_residency.setState(AdapterRef(*least), Residency::State::Closing, now);
    }
}

void ReplicaOwner::reopenClosing()
{
    // The load that an adapter was closed for has ended, so the adapter gets work again.
    std::vector<AdapterRef> closing;
    for (const auto &[adapter, entry] : m_residency.entries()) {
        if (entry.state == Residency::State::Closing) {
            closing.push_back(adapter);
        }
    }
    for (const AdapterRef &adapter : closing) {
        m_residency.setState(adapter, Residency::State::Resident, m_context.clock.now());
    }
    if (!closing.empty()) {
        dispatch();
    }
}

void ReplicaOwner::reserveIntents()
{
    if (m_replica.checksFencingNumber || !m_isReady || m_residency.slotsTaken() < m_replica.slots) {
        return;
    }
    const Millis now = m_context.clock.now();
    std::vector<std::pair<double, AdapterRef>> coldest;
    size_t covered = 0;
    for (const auto &[adapter, entry] : m_residency.entries()) {
        if (m_context.intents.of(m_replica.id).count(adapter) > 0) {
            ++covered;
        } else {
            coldest.emplace_back(m_popularity.decayedUses(adapter, now), adapter);
        }
    }
    // Half of the slots lets loads go on for a while when the platform is out.
    const size_t reserve = std::max(leastIntents, static_cast<size_t>(m_replica.slots) / 2);
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

void ReplicaOwner::abandonLoad(const AdapterRef &adapter)
{
    const auto load = m_loads.find(adapter);
    if (load->second.isTicketHeld) {
        m_context.quota.settle(load->second.ticket, QuotaKeeper::tokensPerLoad);
    } else {
        m_context.quota.cancel(load->second.ticket);
    }
    m_loads.erase(load);
}

void ReplicaOwner::failLoad(const AdapterRef &adapter, const std::string &why)
{
    m_loads.erase(adapter);
    Backoff &backoff = m_backoffs[adapter];
    ++backoff.failures;
    backoff.until = m_context.clock.now() + backoffDelay(firstBackoff, backoff.failures - 1, maxBackoffDoublings);
    m_context.log.record(EventCode::LoadFailed, m_replica.id.text(), adapter.text() + ": " + why);
    if (backoff.failures < failuresBeforeBounce) {
        return;
    }
    bounceQueued(adapter, RefusalCode::LoadFailed);
}

void ReplicaOwner::dropOverdue()
{
    const Millis now = m_context.clock.now();
    std::vector<uint64_t> overdue;
    for (const FairQueue::Entry &entry : m_queue.entries()) {
        if (m_items.at(entry.item).deadlineAt < now + shortestUseful) {
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
    std::vector<uint64_t> silent;
    for (const auto &[call, order] : m_orders) {
        if (order.sentAt + orderTimeout < now) {
            silent.push_back(call);
        }
    }
    for (uint64_t call : silent) {
        m_context.backends.cancel(call);
        onOrderEvent(call, {call, m_replica.id, Broken {}});
    }
    std::erase_if(m_strayUntil, [now](const auto &entry) {
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
    if (event.call == m_stateCall && m_stateCall != 0) {
        m_stateCall = 0;
        if (const auto *report = std::get_if<StateReport>(&event.what)) {
            onState(*report);
        } else {
            onUnreachable();
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
    if (report.incarnation != m_engine) {
        onRestarted(report.incarnation);
    }
    m_residency.apply(report, m_stateAskedAt, now, now + m_context.settings.longestDeadline);
    if (!m_isReady) {
        // An earlier owner's requests may be running or on their way on everything that is resident.
        for (const auto &[adapter, active] : report.adapters) {
            markPossiblyRunning(adapter);
        }
        m_isReady = true;
    }
    dispatch();
    planLoads();
}

void ReplicaOwner::onRestarted(const Incarnation &incarnation)
{
    if (!m_engine.isEmpty()) {
        m_context.log.record(EventCode::ReplicaRestarted, m_replica.id.text(), incarnation.text());
        m_residency.clear();
        m_strayUntil.clear();
        m_isReady = false;
        m_isFenced = !m_replica.checksFencingNumber;
        // Loads whose order went to the old incarnation end with their calls; the others go on.
        std::erase_if(m_orders, [&](const auto &order) {
            m_loads.erase(order.second.adapter);
            return true;
        });
    }
    m_engine = incarnation;
}

void ReplicaOwner::onUnreachable()
{
    if (m_queue.isEmpty()) {
        return;
    }
    m_context.log.record(EventCode::ReplicaUnreachable, m_replica.id.text(), "no state report");
    bounceQueued(std::nullopt, RefusalCode::NoReplica);
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
        // The order may still arrive. Without a fencing check nothing can stop it, so the adapter is kept off.
        m_residency.setState(order.adapter, Residency::State::Uncertain, now);
        if (!order.isLoad) {
            m_strayUntil[order.adapter] = now + m_context.settings.maxOrderDelay;
            bounceQueued(order.adapter, RefusalCode::NoReplica);
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
            // Never pass on what another adapter wrote.
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

void ReplicaOwner::bounceQueued(const std::optional<AdapterRef> &adapter, RefusalCode code)
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
    bounceQueued(std::nullopt, RefusalCode::NoReplica);
    std::vector<AdapterRef> waiting;
    for (const auto &[adapter, load] : m_loads) {
        if (load.stage != Load::Stage::Order) {
            waiting.push_back(adapter);
        }
    }
    for (const AdapterRef &adapter : waiting) {
        abandonLoad(adapter);
    }
    m_context.log.record(EventCode::ReplicaReleased, m_replica.id.text(),
                         "epoch " + std::to_string(m_ownership.epoch.value));
}

bool ReplicaOwner::isReleasable() const
{
    const bool hasUnanswered = std::any_of(m_items.begin(), m_items.end(), [](const auto &item) {
        return item.second.call != 0 && !item.second.hasAnswered;
    });
    return m_isRetired && !hasUnanswered && m_orders.empty() && m_strayUntil.empty();
}

}
