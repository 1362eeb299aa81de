#include "policy/retrybudget.h"

#include <algorithm>

namespace vanillaspar
{

namespace
{

constexpr int64_t intervalsPerWindow = 10;
// Of the ratio and of the allowance; the other half bounds what may be saved for later.
constexpr double earnedPart = 0.5;

}

RetryBudget::RetryBudget(Millis start) : m_refilledAt(start)
{
}

void RetryBudget::configure(const RetryLimits &limits, Millis now)
{
    refill(now);
    m_limits = limits;
}

double RetryBudget::capacity() const
{
    int64_t requests = 0;
    for (const Interval &interval : m_intervals) {
        requests += interval.requests;
    }
    return (1 - earnedPart) * (m_limits.ratio * static_cast<double>(requests) + m_limits.allowance);
}

void RetryBudget::refill(Millis now)
{
    while (!m_intervals.empty() && now - m_intervals.front().start >= m_limits.window) {
        m_intervals.pop_front();
    }
    const double windows = toSeconds(now - m_refilledAt) / toSeconds(m_limits.window);
    m_refilledAt = now;
    m_level = std::min(m_level + earnedPart * m_limits.allowance * windows, capacity());
}

RetryBudget::Interval &RetryBudget::current(Millis now)
{
    if (m_intervals.empty() || now - m_intervals.back().start >= m_limits.window / intervalsPerWindow) {
        m_intervals.push_back({now, 0, 0});
    }
    return m_intervals.back();
}

void RetryBudget::onRequest(Millis now)
{
    refill(now);
    ++current(now).requests;
    m_level = std::min(m_level + earnedPart * m_limits.ratio, capacity());
}

bool RetryBudget::tryConsumeRetry(Millis now)
{
    refill(now);
    if (m_level < 1) {
        return false;
    }
    m_level -= 1;
    ++current(now).retries;
    return true;
}

RetryBudgetState RetryBudget::state(Millis now)
{
    refill(now);
    RetryBudgetState state;
    for (const Interval &interval : m_intervals) {
        state.requests += interval.requests;
        state.retries += interval.retries;
    }
    state.level = m_level;
    state.capacity = capacity();
    state.allowance = m_limits.allowance;
    return state;
}

}
