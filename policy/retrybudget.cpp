#include "policy/retrybudget.h"

namespace vanillaspar
{

namespace
{

constexpr int64_t slicesPerWindow = 10;

}

void RetryBudget::configure(double ratio, double allowance, Millis window)
{
    m_ratio = ratio;
    m_allowance = allowance;
    m_window = window;
}

RetryBudget::Slice &RetryBudget::current(Millis now)
{
    const Millis length = m_window / slicesPerWindow;
    while (!m_slices.empty() && now - m_slices.front().start > m_window + length) {
        m_slices.pop_front();
    }
    if (m_slices.empty() || now - m_slices.back().start >= length) {
        m_slices.push_back({now, 0, 0});
    }
    return m_slices.back();
}

void RetryBudget::onRequest(Millis now)
{
    ++current(now).requests;
}

bool RetryBudget::takeRepeat(Millis now)
{
    Slice &slice = current(now);
    int64_t requests = 0;
    int64_t repeats = 0;
    for (const Slice &each : m_slices) {
        requests += each.requests;
        repeats += each.repeats;
    }
    if (static_cast<double>(repeats + 1) > m_ratio * static_cast<double>(requests) + m_allowance) {
        return false;
    }
    ++slice.repeats;
    return true;
}

}
