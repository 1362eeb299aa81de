#include "policy/crashrate.h"

#include <cstddef>

namespace vanillaspar
{

namespace
{

constexpr Millis window(10000);
constexpr Millis intervalLength(1000);
constexpr size_t controlAnswers = 10;

}

CrashRate::Interval &CrashRate::current(Millis now)
{
    while (!m_intervals.empty() && now - m_intervals.front().start > window) {
        m_intervals.pop_front();
    }
    if (m_intervals.empty() || now - m_intervals.back().start >= intervalLength) {
        m_intervals.push_back({now});
    }
    return m_intervals.back();
}

void CrashRate::onProgressed(Millis begunAt, Millis now)
{
    ++current(now).progressed;
    m_latestBegins.insert(begunAt);
    if (m_latestBegins.size() > controlAnswers) {
        m_latestBegins.erase(m_latestBegins.begin());
    }
}

Millis CrashRate::observedSince(Millis now)
{
    return now - window;
}

Millis CrashRate::controlledUntil() const
{
    return m_latestBegins.size() < controlAnswers ? Millis(INT64_MIN / 2) : *m_latestBegins.begin();
}

void CrashRate::onEnded(Millis now)
{
    ++current(now).ended;
}

double CrashRate::probability(Millis now)
{
    current(now);
    int64_t progressed = 0;
    int64_t ended = 0;
    for (const Interval &interval : m_intervals) {
        progressed += interval.progressed;
        ended += interval.ended;
    }
    return static_cast<double>(ended + 1) / static_cast<double>(ended + progressed + 2);
}

}
