#include "tests/fakes/lateengine.h"

namespace vanillaspar::serving
{

namespace
{

constexpr Millis answerTime(10);
constexpr Millis orderTimeout(100);
constexpr Millis reportTimeout(600);
constexpr Millis loadTime(250);
constexpr uint64_t longestReportAge = 400; // milliseconds
constexpr uint64_t shortestLateness = 150; // milliseconds
constexpr uint64_t longestLateness = 12000; // milliseconds
constexpr int64_t maxLoadsInTransit = 4;

}

LateEngine::LateEngine(Random &random, int64_t adapterSlots)
    : m_random(random), m_adapterSlots(adapterSlots), m_checksCountFirst(random.below(2) == 0)
{
}

void LateEngine::schedule(Millis delay, std::function<void()> action)
{
    m_due.emplace(m_now + delay, std::move(action));
}

void LateEngine::advance(Millis now)
{
    while (!m_due.empty() && m_due.begin()->first <= now) {
        const auto entry = m_due.begin();
        m_now = entry->first;
        const std::function<void()> action = std::move(entry->second);
        m_due.erase(entry);
        action();
    }
    m_now = now;
    m_history.emplace_back(now, residency());
    while (m_history.front().first + Millis(longestReportAge) < now) {
        m_history.pop_front();
    }
}

void LateEngine::sendOrder(const Backend & /*backend*/, const EngineOrder &order,
                           std::function<void(OrderResult)> handler)
{
    ++m_orderCount;
    const uint64_t draw = m_isTroubled ? m_random.below(100) : 99;
    if (draw < 10) {
        schedule(answerTime, [handler = std::move(handler)] {
            handler(OrderResult::NotSent);
        });
        return;
    }
    if (draw < 40) {
        const bool isAnswerLost = draw < 17;
        const bool isLost = draw >= 17 && draw < 23;
        if (!isLost) {
            const Millis lateness(
                static_cast<int64_t>(shortestLateness + m_random.below(longestLateness - shortestLateness)));
            schedule(isAnswerLost ? answerTime : lateness, [this, order] {
                carryOut(order);
            });
        }
        schedule(orderTimeout, [handler = std::move(handler)] {
            handler(OrderResult::Unknown);
        });
        return;
    }
    schedule(answerTime, [this, order, handler = std::move(handler)] {
        handler(carryOut(order));
    });
}

void LateEngine::fetchReport(const Backend & /*backend*/, std::function<void(std::optional<EngineResidency>)> handler)
{
    ++m_reportCount;
    if (m_isTroubled && m_random.below(10) == 0) {
        schedule(reportTimeout, [handler = std::move(handler)] {
            handler(std::nullopt);
        });
        return;
    }
    schedule(answerTime, [this, handler = std::move(handler)] {
        const Millis asOf = m_now - Millis(static_cast<int64_t>(m_random.below(longestReportAge)));
        EngineResidency report = residency();
        for (const auto &[at, past] : m_history) {
            if (at >= asOf) {
                report = past;
                break;
            }
        }
        handler(report);
    });
}

OrderResult LateEngine::carryOut(const EngineOrder &order)
{
    const bool isCountEqual = !order.expectedOrderCount || *order.expectedOrderCount == m_acceptedOrders;
    const auto slot = m_slots.find(order.weights);
    const bool isNewest = slot != m_slots.end() && slot->second.version == m_newest[order.weights];
    const bool alreadyHolds = order.weights == "m" || (order.isLoad ? isNewest : slot == m_slots.end());
    if (!isCountEqual && (m_checksCountFirst || !alreadyHolds)) {
        return OrderResult::Conflict;
    }
    if (alreadyHolds) {
        return order.isLoad && !isReady(order.weights) ? OrderResult::Accepted : OrderResult::Completed;
    }
    m_lastOrder = (order.isLoad ? "load " : "unload ") + order.weights;
    return order.isLoad ? load(order.weights) : unload(order.weights);
}

OrderResult LateEngine::load(const std::string &weights)
{
    int64_t loads = 0;
    for (const auto &[name, slot] : m_slots) {
        loads += slot.readyAt > m_now ? 1 : 0;
    }
    if (loads >= maxLoadsInTransit) {
        return OrderResult::Conflict;
    }
    if (m_slots.count(weights) == 0 && static_cast<int64_t>(m_slots.size()) >= m_adapterSlots) {
        m_hasCrashed = true;
        return OrderResult::Unknown;
    }
    m_slots[weights] = {m_newest[weights], m_now + loadTime};
    ++m_acceptedOrders;
    ++m_loadCount;
    return OrderResult::Accepted;
}

OrderResult LateEngine::unload(const std::string &weights)
{
    m_slots.erase(weights);
    ++m_acceptedOrders;
    return OrderResult::Completed;
}

bool LateEngine::isReady(const std::string &weights) const
{
    const auto slot = m_slots.find(weights);
    return weights == "m" || (slot != m_slots.end() && slot->second.readyAt <= m_now);
}

EngineResidency LateEngine::residency() const
{
    EngineResidency report;
    report.models = {{"m", 1}};
    report.orderCount = m_acceptedOrders;
    for (const auto &[weights, slot] : m_slots) {
        (slot.readyAt <= m_now ? report.adapters : report.pending).push_back({weights, slot.version});
    }
    return report;
}

}
