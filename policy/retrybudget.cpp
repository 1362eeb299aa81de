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

RetryBudget::Interval &RetryBudget::current(Millis now)
{
    const Millis length = m_window / intervalsPerWindow;
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

bool RetryBudget::tryConsumeRetry(Millis now)
{
    Interval &interval = current(now);
    int64_t requests = 0;
    int64_t retries = 0;
    for (const Interval &counted : m_intervals) {
        requests += counted.requests;
        retries += counted.retries;
    }
    if (static_cast<double>(retries + 1) > m_ratio * static_cast<double>(requests) + m_allowance) {
        return false;
    }
    ++interval.retries;
    return true;
}

}
