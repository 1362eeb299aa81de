#include "serving/queueing/waitingqueue.h"

#include "serving/queueing/activerequest.h"

#include <set>

namespace vanillaspar::serving
{

namespace
{

constexpr Millis normalWait(300); // time to request an adapter and load it from the weight store

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

Millis WaitingQueue::expectedWait(const PoolId &pool, int64_t ahead)
{
    return m_estimates[pool].expectedWait(ahead);
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
