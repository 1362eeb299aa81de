#include "policy/retrybudget.h"

namespace vanillaspar
{

namespace
{

constexpr int64_t intervalsPerWindow = 10;

}

void RetryBudget::configure(double ratio, double allowance, Millis window)
{
    m_ratio = ratio;
    m_allowance = allowance;
    m_window = window;
}

Millis RetryBudget::intervalLength() const
{
    return m_window / intervalsPerWindow;
}

RetryBudget::Interval &RetryBudget::current(Millis now)
{
    const Millis length = intervalLength();
    while (!m_intervals.empty() && now - m_intervals.front().start > m_window + length) {
        m_intervals.pop_front();
    }
    if (m_intervals.empty() || now - m_intervals.back().start >= length) {
        m_intervals.push_back({now, 0, 0});
    }
    return m_intervals.back();
}

void RetryBudget::onRequest(Millis now)
{
    ++current(now).requests;
}

RetryBudgetState RetryBudget::state(Millis now) const
{
    RetryBudgetState state;
    for (const Interval &counted : m_intervals) {
        if (now - counted.start <= m_window + intervalLength()) {
            state.requests += counted.requests;
            state.retries += counted.retries;
        }
    }
    state.limit = m_ratio * static_cast<double>(state.requests) + m_allowance;
    state.allowance = m_allowance;
    return state;
}

bool RetryBudget::tryConsumeRetry(Millis now)
{
    Interval &interval = current(now);
    const RetryBudgetState counted = state(now);
    if (static_cast<double>(counted.retries + 1) > counted.limit) {
        return false;
    }
    ++interval.retries;
    return true;
}

}
