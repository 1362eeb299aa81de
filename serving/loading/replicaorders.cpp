#include "serving/loading/replicaorders.h"

#include "core/eventlog.h"
#include "policy/transferpacer.h"
#include "serving/interfaces/weights.h"
#include "serving/replicas/adapterversions.h"
#include "serving/replicas/residencymap.h"

#include <algorithm>
#include <utility>

namespace vanillaspar::serving
{

namespace
{

constexpr int64_t maxLoadsInProgress = 4; // adapters that a replica loads at a time, by the platform's protocol
// An engine's report is a few hundred milliseconds old. After this delay it reflects every order accepted before.
constexpr Millis reportLag(400);
constexpr Millis conflictDelay(120);
constexpr Millis notSentDelay(150);
constexpr int maxOrderRepeats = 3; // then the replica is asked what it holds
// Told to other hosts beyond the expected end of a load, in case the report that it is complete is lost.
constexpr Millis confirmationAllowance(400);
// An adapter isn't evicted right after a load, so that the requests that waited for it can use it.
constexpr Millis minResidency(150);
constexpr Millis reportInterval(1000);
// Added to a base model's load time before the replica's report is queried for it. Reports lag by varying times.
constexpr Millis modelReportLag(150);

}

ReplicaOrders::ReplicaOrders(ReplicaId replica, OrderPort &port, EventLog &log, TransferPacer &transferPacer,
                             uint64_t firstSequence, std::function<void()> onIdle)
    : m_replica(std::move(replica))
    , m_orderPort(port)
    , m_log(log)
    , m_transferPacer(transferPacer)
    , m_sequence(firstSequence)
    , m_onIdle(std::move(onIdle))
{
}

void ReplicaOrders::reset()
{
    m_incarnation = std::make_shared<bool>(true);
    m_acceptedOrders.reset();
    m_leastAcceptedOrders = 0;
    m_unanswered.reset();
    m_isStartingTransfer = false;
    m_slots.clear();
    m_models.clear();
    m_recentlyLoaded.clear();
    m_isBusy = false;
    m_isLoadingModel = false;
    m_nextOrderAt = Millis(0);
}

void ReplicaOrders::onUseReport(const HostId &host, const AdapterUseReport &report, Millis now)
{
    m_usage.onReport(host, report, now);
    for (const AdapterUse &adapterUse : report.uses) {
        const auto slot = m_slots.find(adapterUse.weights);
        if (slot != m_slots.end()) {
            slot->second.usedAt = now;
        }
    }
}

int64_t ReplicaOrders::loadsInProgress() const
{
    return std::count_if(m_slots.begin(), m_slots.end(), [](const auto &entry) {
        return !entry.second.isReady;
    });
}

int64_t ReplicaOrders::adapterLoads() const
{
    return (m_isStartingTransfer ? 1 : 0) + std::count_if(m_slots.begin(), m_slots.end(), [](const auto &entry) {
               return entry.second.isFromWeightStore && !entry.second.isReady;
           });
}

bool ReplicaOrders::sendNextOrder(const OrderContext &context, Millis now)
{
    if (!isDue(now)) {
        return false;
    }
    if (m_unanswered) {
        repeatOrder(context, now);
        return false;
    }
    if (!m_acceptedOrders) {
        fetchReport(context, now);
        return false;
    }
    if (m_models.empty()) {
        return orderModel(context, now);
    }
    checkDueLoads(context, now);
    if (loadsInProgress() >= maxLoadsInProgress) {
        return false;
    }
    if (const std::string *outdated = chooseOutdated(context)) {
        orderLoad(context, *outdated, now);
        return false;
    }
    const std::string *pending = choosePendingLoad(context);
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
    const ResultHandler handler = [this, readyAt = now + model.loadTime, now](OrderResult result) {
        if (!applyResult(result, now)) {
            return;
        }
        m_acceptedOrders.reset(); // the report tells whether it was loaded already
        if (result == OrderResult::Accepted) {
            m_isLoadingModel = true;
            m_nextOrderAt = readyAt + modelReportLag;
        }
    };
    sendOrder(context, {true, model.name, handler}, now);
    m_log.record(EventCode::ModelOrdered, m_replica.text(), "load " + model.name);
    return true;
}

const std::string *ReplicaOrders::chooseOutdated(const OrderContext &context) const
{
    for (const auto &[weights, slot] : m_slots) {
        if (slot.version < context.versions.newestVersion(weights) && slot.isReady && !slot.isUnloading) {
            return &weights;
        }
    }
    return nullptr;
}

LoadUrgency ReplicaOrders::evaluatePendingLoads(const ResidencyMap &residency, Millis now)
{
    m_pendingLoads.dropObsolete(
        [&](const std::string &weights, int64_t version, bool wasMissing) {
            const auto slot = m_slots.find(weights);
            const bool isHeld = slot != m_slots.end() && slot->second.version >= version;
            const bool isDisputed
                = isHeld && wasMissing && slot->second.isReady && slot->second.readyAt + minResidency < now;
            return !isHeld || isDisputed;
        },
        now);
    m_pendingLoads.updateFirstCopies([&](const std::string &weights, int64_t version) {
        const auto &holders = residency.holders(weights);
        return std::any_of(holders.begin(), holders.end(), [&](const auto &holder) {
            return holder.first != m_replica && holder.second.version >= version;
        });
    });
    const std::string *mostUrgent = m_pendingLoads.mostUrgent([this](const std::string &weights) {
        return isLoadable(weights);
    });
    return mostUrgent == nullptr ? LoadUrgency() : m_pendingLoads.urgencyOf(*mostUrgent);
}

bool ReplicaOrders::isLoadable(const std::string &weights) const
{
    return !adapterOf(weights).empty()
        && std::find(m_models.begin(), m_models.end(), modelOf(weights)) != m_models.end();
}

const std::string *ReplicaOrders::choosePendingLoad(const OrderContext &context) const
{
    return m_pendingLoads.mostUrgent([&](const std::string &weights) {
        // The answer to an order during a load would not tell which version is on its way.
        const auto slot = m_slots.find(weights);
        const bool isLoading = slot != m_slots.end() && !slot->second.isReady;
        return !isLoading && isLoadable(weights) && (context.mayTransfer || m_recentlyLoaded.contains(weights));
    });
}

const std::string *ReplicaOrders::chooseEvictionCandidate(Millis now) const
{
    const std::string *candidate = nullptr;
    Millis leastUsed;
    for (const auto &[weights, slot] : m_slots) {
        const bool isIdle = !slot.isUnloading && slot.isReady && slot.readyAt + minResidency <= now
            && m_usage.running(weights, now) == 0 && !m_pendingLoads.contains(weights);
        if (isIdle && (candidate == nullptr || slot.usedAt < leastUsed)) {
            candidate = &weights;
            leastUsed = slot.usedAt;
        }
    }
    return candidate;
}

void ReplicaOrders::sendOrder(const OrderContext &context, const RepeatableOrder &order, Millis now)
{
    m_orderPort.sendOrder(context.backend,
                          {order.isLoad, order.weights, context.host, context.fencingNumber, m_acceptedOrders},
                          markBusy<OrderResult>([this, order, now](OrderResult result) {
                              // A repetition that could not be sent leaves open whether the order before it is carried
                              // out.
                              const bool isOutstanding = result == OrderResult::Unknown
                                  || (result == OrderResult::NotSent && order.repeats > 0);
                              if (!isOutstanding || order.repeats >= maxOrderRepeats) {
                                  order.handler(isOutstanding ? OrderResult::Unknown : result);
                                  return;
                              }
                              m_unanswered = order;
                              ++m_unanswered->repeats;
                              m_nextOrderAt = result == OrderResult::NotSent ? now + notSentDelay : m_nextOrderAt;
                              m_onIdle();
                          }));
}

void ReplicaOrders::repeatOrder(const OrderContext &context, Millis now)
{
    const RepeatableOrder order = *std::exchange(m_unanswered, std::nullopt);
    sendOrder(context, order, now);
}

template<class Answer>
std::function<void(Answer)> ReplicaOrders::markBusy(std::function<void(Answer)> handler)
{
    m_isBusy = true;
    return bindToIncarnation<Answer>([this, handler = std::move(handler)](Answer answer) {
        m_isBusy = false;
        handler(answer);
    });
}

template<class Answer>
std::function<void(Answer)> ReplicaOrders::bindToIncarnation(std::function<void(Answer)> handler)
{
    const std::weak_ptr<bool> incarnation = m_incarnation;
    return [incarnation, handler = std::move(handler)](Answer answer) {
        if (!incarnation.expired()) {
            handler(answer);
        }
    };
}

void ReplicaOrders::orderLoad(const OrderContext &context, const std::string &weights, Millis now)
{
    const int64_t version = context.versions.newestVersion(weights);
    m_isStartingTransfer = m_slots.count(weights) > 0 || !m_recentlyLoaded.contains(weights);
    const ResultHandler handler = [this, weights, version, now](OrderResult result) {
        m_isStartingTransfer = false;
        onLoadResult(result, weights, version, now);
        m_onIdle();
    };
    sendOrder(context, {true, weights, handler}, now);
}

void ReplicaOrders::onLoadResult(OrderResult result, const std::string &weights, int64_t version, Millis now)
{
    if (!applyResult(result, now)) {
        return;
    }
    const bool isReplacement = m_slots.count(weights) > 0;
    if (isReplacement && result == OrderResult::Completed) {
        m_acceptedOrders.reset(); // the replica already had this version, and perhaps didn't count the order
    }
    Slot slot;
    slot.version = version;
    slot.orderedAt = now;
    slot.usedAt = now;
    slot.isReady = result == OrderResult::Completed;
    slot.readyAt = now;
    slot.wasInMemory = !isReplacement && m_recentlyLoaded.contains(weights);
    slot.isFromWeightStore = !slot.wasInMemory;
    slot.checkAt = now + m_transferPacer.nextCheckAge(Millis(0));
    m_slots[weights] = slot;
    m_pendingLoads.erase(weights);
    m_recentlyLoaded.add(weights);
    m_isReportDue = true;
    if (slot.isReady) {
        logLoaded(weights, slot);
    }
}

void ReplicaOrders::checkDueLoads(const OrderContext &context, Millis now)
{
    for (auto &[weights, slot] : m_slots) {
        if (!slot.isReady && !slot.isUnloading && !slot.isChecking && slot.checkAt <= now) {
            slot.isChecking = true;
            checkLoad(context, weights, now);
        }
    }
}

void ReplicaOrders::checkLoad(const OrderContext &context, const std::string &weights, Millis now)
{
    m_orderPort.sendOrder(
        context.backend, {true, weights, context.host, context.fencingNumber, m_acceptedOrders},
        bindToIncarnation<OrderResult>([this, weights, now, count = m_acceptedOrders](OrderResult result) {
            // Another order may have overtaken this one and raised the count.
            const bool wasOvertaken = m_isBusy || count != m_acceptedOrders;
            onLoadChecked(wasOvertaken && result == OrderResult::Conflict ? OrderResult::Unknown : result, weights,
                          now);
            m_onIdle();
        }));
}

void ReplicaOrders::onLoadChecked(OrderResult result, const std::string &weights, Millis now)
{
    const auto entry = m_slots.find(weights);
    if (entry == m_slots.end()) {
        return;
    }
    Slot &slot = entry->second;
    slot.isChecking = false;
    const Millis age = now - slot.orderedAt;
    if (slot.isReady) {
        return;
    }
    if (result == OrderResult::Completed) {
        slot.isReady = true;
        slot.readyAt = now;
        slot.usedAt = now;
        m_isReportDue = true;
        if (!slot.wasInMemory) {
            m_transferPacer.onCompleted(slot.incompleteAt, age, now);
        }
        logLoaded(weights, slot);
        return;
    }
    if (result == OrderResult::Conflict || result == OrderResult::Rejected || result == OrderResult::WrongServer) {
        applyResult(result, now);
        return;
    }
    if (result == OrderResult::Accepted) {
        slot.isFromWeightStore = true; // the replica's own memory would have been faster
        slot.incompleteAt = age;
    }
    slot.checkAt = slot.orderedAt + m_transferPacer.nextCheckAge(age);
}

void ReplicaOrders::logLoaded(const std::string &weights, const Slot &slot)
{
    m_log.record(EventCode::AdapterLoaded, m_replica.text(),
                 weights + "@" + std::to_string(slot.version) + " after "
                     + std::to_string((slot.readyAt - slot.orderedAt).value) + " ms");
}

void ReplicaOrders::orderUnload(const OrderContext &context, const std::string &weights, Millis now)
{
    m_slots[weights].isUnloading = true; // excluded from reports, so that no request is routed to it during the order
    m_isReportDue = true;
    const ResultHandler handler = [this, weights, now](OrderResult result) {
        onUnloadResult(result, weights, now);
        m_onIdle();
    };
    sendOrder(context, {false, weights, handler}, now);
}

void ReplicaOrders::onUnloadResult(OrderResult result, const std::string &weights, Millis now)
{
    m_isReportDue = true;
    if (!applyResult(result, now)) {
        m_slots[weights].isUnloading = result != OrderResult::NotSent; // until the report if it may be carried out
        return;
    }
    if (result == OrderResult::Completed) {
        m_slots.erase(weights);
        m_log.record(EventCode::AdapterUnloaded, m_replica.text(), weights);
        return;
    }
    // The replica still finishes requests that no host had reported. A later report shows when the adapter is gone.
    forgetAcceptedOrders();
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
        forgetAcceptedOrders();
        m_nextOrderAt = now + conflictDelay;
        break;
    case OrderResult::Rejected:
    case OrderResult::WrongServer:
    case OrderResult::Unknown:
        forgetAcceptedOrders();
        m_nextOrderAt = now + reportLag;
        break;
    }
    m_log.record(EventCode::OrderFailed, m_replica.text(), "result " + std::to_string(static_cast<int>(result)));
    return false;
}

void ReplicaOrders::forgetAcceptedOrders()
{
    m_leastAcceptedOrders = std::max(m_leastAcceptedOrders, m_acceptedOrders.value_or(0));
    m_acceptedOrders.reset();
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
    if (residency->orderCount < m_leastAcceptedOrders) {
        m_nextOrderAt = now + conflictDelay; // older than an order that the replica is known to have accepted
        return;
    }
    m_isLoadingModel = false;
    m_acceptedOrders = residency->orderCount;
    m_models.clear();
    for (const EngineModel &model : residency->models) {
        m_models.push_back(model.name);
    }
    std::map<std::string, Slot> slots;
    const auto take = [&](const EngineAdapter &adapter, bool isReady) {
        Slot slot;
        slot.version = adapter.version;
        slot.orderedAt = now;
        const auto known = m_slots.find(adapter.weights);
        slot.usedAt = known == m_slots.end() ? now : known->second.usedAt;
        slot.isReady = isReady;
        slot.readyAt = now;
        slot.checkAt = now;
        slots[adapter.weights] = slot;
        m_recentlyLoaded.add(adapter.weights);
    };
    for (const EngineAdapter &adapter : residency->adapters) {
        take(adapter, true);
    }
    for (const EngineAdapter &adapter : residency->pending) {
        take(adapter, false);
    }
    m_slots = std::move(slots);
    m_isReportDue = true;
    m_nextOrderAt = now;
}

Millis ReplicaOrders::timeToConfirmation(const Slot &slot, Millis now) const
{
    return std::max(slot.orderedAt + m_transferPacer.expected() - now, Millis(0)) + confirmationAllowance;
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
            const Millis left = slot.isReady ? Millis(0) : timeToConfirmation(slot, now);
            report.adapters.push_back({weights, slot.version, static_cast<int32_t>(left.value)});
        }
    }
    return report;
}

}
