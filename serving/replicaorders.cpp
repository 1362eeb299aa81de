#include "serving/replicaorders.h"

#include "core/eventlog.h"
#include "serving/adapterversions.h"
#include "serving/weights.h"

#include <algorithm>

namespace vanillaspar::serving
{

namespace
{

// An adapter takes 250 ms to load from the weight store and a tenth of that from the replica's own memory, which keeps
// recently loaded adapters.
constexpr Millis slowLoadTime(250);
constexpr Millis fastLoadTime(25);
constexpr int64_t maxLoadsInProgress = 4; // adapters that a replica loads at a time, by the platform's protocol
// An engine's report is a few hundred milliseconds old. After this delay it reflects every order accepted before.
constexpr Millis reportLag(400);
constexpr Millis conflictDelay(120);
constexpr Millis notSentDelay(150);
// Hosts repeat their adapter requests every 100 ms. A pending load that isn't requested any more is dropped.
constexpr Millis pendingLoadLifetime(500);
constexpr Millis useReportLifetime(700); // reports are sent five times a second; some are lost
// An adapter isn't evicted right after a load, so that the requests that waited for it can use it.
constexpr Millis minResidency(150);
constexpr Millis reportInterval(1000);
constexpr size_t maxRecentlyLoaded = 64; // adapters; below the number that the known engines keep in a replica's memory
// Added to a base model's load time before the replica's report is queried for it. Reports lag by varying times.
constexpr Millis modelReportLag(150);

}

ReplicaOrders::ReplicaOrders(ReplicaId replica, OrderPort &port, EventLog &log, uint64_t firstSequence,
                             std::function<void()> onIdle)
    : m_replica(std::move(replica))
    , m_orderPort(port)
    , m_log(log)
    , m_sequence(firstSequence)
    , m_onIdle(std::move(onIdle))
{
}

void ReplicaOrders::reset()
{
    m_incarnation = std::make_shared<bool>(true);
    m_acceptedOrders.reset();
    m_slots.clear();
    m_models.clear();
    m_recentlyLoaded.clear();
    m_isBusy = false;
    m_isLoadingModel = false;
    m_nextOrderAt = Millis(0);
}

void ReplicaOrders::onAdapterRequest(const AdapterRequest &request, Millis now)
{
    PendingLoad &pending = m_pendingLoads[request.weights];
    if (now - pending.requestedAt > pendingLoadLifetime) {
        pending = {};
        pending.since = now;
    }
    pending.version = std::max(pending.version, request.version);
    pending.waiting = std::max<int64_t>(pending.waiting, request.waiting);
    pending.requestedAt = now;
    pending.wasMissing = pending.wasMissing || request.wasMissing;
}

void ReplicaOrders::onUseReport(const HostId &host, const AdapterUseReport &report, Millis now)
{
    HostUsage &use = m_usages[host];
    use.at = now;
    use.running.clear();
    for (const AdapterUse &adapterUse : report.uses) {
        use.running[adapterUse.weights] = adapterUse.running;
        const auto slot = m_slots.find(adapterUse.weights);
        if (slot != m_slots.end()) {
            slot->second.usedAt = now;
        }
    }
}

int64_t ReplicaOrders::runningOf(const std::string &weights, Millis now) const
{
    int64_t running = 0;
    for (const auto &[host, use] : m_usages) {
        const auto entry = use.running.find(weights);
        if (entry != use.running.end() && now - use.at < useReportLifetime) {
            running += entry->second;
        }
    }
    return running;
}

int64_t ReplicaOrders::loadsInProgress(Millis now) const
{
    return std::count_if(m_slots.begin(), m_slots.end(), [now](const auto &entry) {
        return entry.second.readyAt > now;
    });
}

int64_t ReplicaOrders::adapterLoads(Millis now) const
{
    return std::count_if(m_slots.begin(), m_slots.end(), [now](const auto &entry) {
        return entry.second.isFromWeightStore && entry.second.readyAt > now;
    });
}

bool ReplicaOrders::isDue(Millis now) const
{
    return !m_isBusy && now >= m_nextOrderAt;
}

bool ReplicaOrders::sendNextOrder(const OrderContext &context, Millis now)
{
    if (!isDue(now)) {
        return false;
    }
    if (!m_acceptedOrders) {
        fetchReport(context, now);
        return false;
    }
    if (m_models.empty()) {
        return orderModel(context, now);
    }
    if (loadsInProgress(now) >= maxLoadsInProgress) {
        return false;
    }
    if (const std::string *outdated = chooseOutdated(context, now)) {
        orderLoad(context, *outdated, now);
        return false;
    }
    const std::string *pending = choosePendingLoad(now);
    if (pending == nullptr) {
        return false;
    }
    if (static_cast<int64_t>(m_slots.size()) < context.engine.adapterSlots || m_slots.count(*pending) > 0) {
        orderLoad(context, *pending, now);
    } else if (const std::string *candidate = chooseEvictionCandidate(now)) {
        orderUnload(context, *candidate, now);
    }
    return false;
}

bool ReplicaOrders::orderModel(const OrderContext &context, Millis now)
{
    if (m_isLoadingModel) {
        fetchReport(context, now);
        return false;
    }
    if (!context.mayLoadModel || context.engine.models.empty()) {
        return false;
    }
    const ModelSpec &model = context.engine.models.front();
    const Millis loadTime = model.loadTime;
    sendOrder(context, true, model.name, [this, now, loadTime](OrderResult result) {
        if (applyResult(result, now) && result == OrderResult::Accepted) {
            m_isLoadingModel = true;
            m_acceptedOrders.reset();
            m_nextOrderAt = now + loadTime + modelReportLag;
        }
    });
    m_log.record(EventCode::ModelOrdered, m_replica.text(), "load " + model.name);
    return true;
}

const std::string *ReplicaOrders::chooseOutdated(const OrderContext &context, Millis now) const
{
    for (const auto &[weights, slot] : m_slots) {
        if (slot.version < context.versions.newestVersion(weights) && slot.readyAt <= now && !slot.isUnloading) {
            return &weights;
        }
    }
    return nullptr;
}

const std::string *ReplicaOrders::choosePendingLoad(Millis now)
{
    const std::string *chosen = nullptr;
    const PendingLoad *best = nullptr;
    for (auto entry = m_pendingLoads.begin(); entry != m_pendingLoads.end();) {
        PendingLoad &pending = entry->second;
        const auto slot = m_slots.find(entry->first);
        const bool isHeld = slot != m_slots.end() && slot->second.version >= pending.version;
        const bool isDisputed = isHeld && pending.wasMissing && slot->second.readyAt + minResidency < now;
        if (now - pending.requestedAt > pendingLoadLifetime || (isHeld && !isDisputed)) {
            entry = m_pendingLoads.erase(entry);
            continue;
        }
        const bool hasModel = std::find(m_models.begin(), m_models.end(), modelOf(entry->first)) != m_models.end();
        const bool isBetter = best == nullptr || pending.waiting > best->waiting
            || (pending.waiting == best->waiting && pending.since < best->since);
        if (hasModel && !adapterOf(entry->first).empty() && isBetter) {
            chosen = &entry->first;
            best = &pending;
        }
        ++entry;
    }
    return chosen;
}

const std::string *ReplicaOrders::chooseEvictionCandidate(Millis now) const
{
    const std::string *candidate = nullptr;
    Millis leastUsed;
    for (const auto &[weights, slot] : m_slots) {
        const bool isIdle = !slot.isUnloading && slot.readyAt + minResidency <= now && runningOf(weights, now) == 0
            && m_pendingLoads.count(weights) == 0;
        if (isIdle && (candidate == nullptr || slot.usedAt < leastUsed)) {
            candidate = &weights;
            leastUsed = slot.usedAt;
        }
    }
    return candidate;
}

void ReplicaOrders::sendOrder(const OrderContext &context, bool isLoad, const std::string &weights,
                              std::function<void(OrderResult)> handler)
{
    m_orderPort.sendOrder(context.backend, {isLoad, weights, context.host, context.fencingNumber, m_acceptedOrders},
                          markBusy<OrderResult>(std::move(handler)));
}

template<class Answer>
std::function<void(Answer)> ReplicaOrders::markBusy(std::function<void(Answer)> handler)
{
    m_isBusy = true;
    const std::weak_ptr<bool> incarnation = m_incarnation;
    return [this, incarnation, handler = std::move(handler)](Answer answer) {
        if (!incarnation.expired()) {
            m_isBusy = false;
            handler(answer);
        }
    };
}

void ReplicaOrders::orderLoad(const OrderContext &context, const std::string &weights, Millis now)
{
    const int64_t version = context.versions.newestVersion(weights);
    const int64_t concurrentLoads = std::max(context.fleetLoads, context.fullSpeedLoads);
    const Millis slowTime(slowLoadTime.value * concurrentLoads / std::max<int64_t>(context.fullSpeedLoads, 1));
    sendOrder(context, true, weights, [this, weights, version, slowTime, now](OrderResult result) {
        onLoadResult(result, weights, version, slowTime, now);
        m_onIdle();
    });
}

void ReplicaOrders::onLoadResult(OrderResult result, const std::string &weights, int64_t version, Millis slowTime,
                                 Millis now)
{
    if (!applyResult(result, now)) {
        return;
    }
    const bool isReplacement = m_slots.count(weights) > 0;
    Slot slot {version, now, now, false, false};
    if (result == OrderResult::Accepted) {
        slot.isFromWeightStore = isReplacement || !isRecentlyLoaded(weights);
        slot.readyAt = now + (slot.isFromWeightStore ? slowTime : fastLoadTime);
    }
    m_slots[weights] = slot;
    m_pendingLoads.erase(weights);
    addRecentlyLoaded(weights);
    m_isReportDue = true;
    m_log.record(EventCode::AdapterLoaded, m_replica.text(),
                 weights + "@" + std::to_string(version) + " ready in " + std::to_string((slot.readyAt - now).value)
                     + " ms");
}

void ReplicaOrders::orderUnload(const OrderContext &context, const std::string &weights, Millis now)
{
    m_slots[weights].isUnloading = true; // excluded from reports, so that no request is routed to it during the order
    m_isReportDue = true;
    sendOrder(context, false, weights, [this, weights, now](OrderResult result) {
        onUnloadResult(result, weights, now);
        m_onIdle();
    });
}

void ReplicaOrders::onUnloadResult(OrderResult result, const std::string &weights, Millis now)
{
    m_isReportDue = true;
    if (!applyResult(result, now)) {
        return;
    }
    if (result == OrderResult::Completed) {
        m_slots.erase(weights);
        m_log.record(EventCode::AdapterUnloaded, m_replica.text(), weights);
        return;
    }
    // The replica still finishes requests that no host had reported. A later report shows when the adapter is gone.
    m_acceptedOrders.reset();
    m_nextOrderAt = now + reportLag;
}

bool ReplicaOrders::applyResult(OrderResult result, Millis now)
{
    switch (result) {
    case OrderResult::Accepted:
    case OrderResult::Completed:
        if (m_acceptedOrders) {
            ++*m_acceptedOrders;
        }
        return true;
    case OrderResult::NotSent:
        m_nextOrderAt = now + notSentDelay;
        break;
    case OrderResult::Conflict:
        m_acceptedOrders.reset();
        m_nextOrderAt = now + conflictDelay;
        break;
    case OrderResult::Rejected:
    case OrderResult::WrongServer:
    case OrderResult::Unknown:
        m_acceptedOrders.reset();
        m_nextOrderAt = now + reportLag;
        break;
    }
    m_log.record(EventCode::OrderFailed, m_replica.text(), "result " + std::to_string(static_cast<int>(result)));
    return false;
}

void ReplicaOrders::fetchReport(const OrderContext &context, Millis now)
{
    m_orderPort.fetchReport(
        context.backend,
        markBusy<std::optional<EngineResidency>>([this, now](const std::optional<EngineResidency> &residency) {
            onReport(residency, now);
        }));
}

void ReplicaOrders::onReport(const std::optional<EngineResidency> &residency, Millis now)
{
    m_nextOrderAt = now + reportLag;
    if (!residency || residency->isBusy) {
        return;
    }
    m_isLoadingModel = false;
    m_acceptedOrders = residency->orderCount;
    m_models.clear();
    for (const EngineModel &model : residency->models) {
        m_models.push_back(model.name);
    }
    std::map<std::string, Slot> slots;
    const auto take = [&](const EngineAdapter &adapter, Millis readyAt) {
        const auto known = m_slots.find(adapter.weights);
        slots[adapter.weights]
            = {adapter.version, readyAt, known == m_slots.end() ? now : known->second.usedAt, false, false};
        addRecentlyLoaded(adapter.weights);
    };
    for (const EngineAdapter &adapter : residency->adapters) {
        take(adapter, now);
    }
    for (const EngineAdapter &adapter : residency->pending) {
        take(adapter, now + slowLoadTime);
    }
    m_slots = std::move(slots);
    m_isReportDue = true;
    m_nextOrderAt = now;
}

std::optional<ResidencyReport> ReplicaOrders::takeReport(const Backend &backend, const HostId &owner, Millis now)
{
    const bool isKnown = m_acceptedOrders || !m_slots.empty();
    if (!isKnown || (!m_isReportDue && now - m_reportedAt < reportInterval)) {
        return std::nullopt;
    }
    m_isReportDue = false;
    m_reportedAt = now;
    ResidencyReport report {m_replica, owner, backend.residency.incarnation, ++m_sequence, {}};
    for (const std::string &model : m_models) {
        report.adapters.push_back({model, 0, 0});
    }
    for (const auto &[weights, slot] : m_slots) {
        if (!slot.isUnloading) {
            const int64_t left = std::max<int64_t>((slot.readyAt - now).value, 0);
            report.adapters.push_back({weights, slot.version, static_cast<int32_t>(left)});
        }
    }
    return report;
}

void ReplicaOrders::addRecentlyLoaded(const std::string &weights)
{
    m_recentlyLoaded.erase(std::remove(m_recentlyLoaded.begin(), m_recentlyLoaded.end(), weights),
                           m_recentlyLoaded.end());
    m_recentlyLoaded.push_back(weights);
    if (m_recentlyLoaded.size() > maxRecentlyLoaded) {
        m_recentlyLoaded.pop_front();
    }
}

bool ReplicaOrders::isRecentlyLoaded(const std::string &weights) const
{
    return std::find(m_recentlyLoaded.begin(), m_recentlyLoaded.end(), weights) != m_recentlyLoaded.end();
}

}
