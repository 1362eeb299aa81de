#include "serving/queueing/waitingqueue.h"

#include "serving/queueing/activerequest.h"

#include <algorithm>
#include <set>
#include <string>

namespace vanillaspar::serving
{

namespace
{

constexpr Millis normalWait(300); // time to request an adapter and load it from the weight store
constexpr Millis overloadRetry(300); // about the time in which a batch completes a few of its requests

}

WaitingQueue::Key WaitingQueue::keyOf(const ActiveRequest &active)
{
    return {active.priority, active.request.exchange};
}

void WaitingQueue::insert(const ActiveRequest &active)
{
    m_entries.emplace(keyOf(active), Entry {active.pool, active.request.receivedAt});
}

void WaitingQueue::erase(const ActiveRequest &active)
{
    m_entries.erase(keyOf(active));
}

void WaitingQueue::onSent(const ActiveRequest &active)
{
    erase(active);
    m_estimates[active.pool].onSent();
}

void WaitingQueue::observe(Millis now)
{
    std::set<PoolId> backlogged;
    for (const auto &[key, entry] : m_entries) {
        if (now - entry.receivedAt > normalWait) {
            backlogged.insert(entry.pool);
        }
    }
    for (auto &[pool, estimate] : m_estimates) {
        estimate.observe(backlogged.count(pool) > 0, now);
    }
}

int64_t WaitingQueue::countAhead(const ActiveRequest &active) const
{
    int64_t ahead = 0;
    for (const auto &[key, entry] : m_entries) {
        if (key.first > active.priority) {
            break;
        }
        ahead += entry.pool == active.pool ? 1 : 0;
    }
    return ahead;
}

std::optional<Refusal> WaitingQueue::checkWait(const ActiveRequest &active, Millis now)
{
    const int64_t ahead = countAhead(active);
    const Millis wait = m_estimates[active.pool].expectedWait(ahead);
    if (now + wait <= active.waitDeadline || active.isResponding()) {
        return std::nullopt;
    }
    return Refusal {RefusalCode::Overloaded, RunState::NotRun, std::max(wait, overloadRetry),
                    "expected wait " + std::to_string(wait.value) + " ms behind " + std::to_string(ahead)
                        + " requests"};
}

std::vector<uint64_t> WaitingQueue::exchanges() const
{
    std::vector<uint64_t> exchanges;
    exchanges.reserve(m_entries.size());
    for (const auto &[key, entry] : m_entries) {
        exchanges.push_back(key.second);
    }
    return exchanges;
}

}
