#pragma once

#include "core/refusal.h"
#include "core/units.h"

#include <cstdint>
#include <map>
#include <string>

namespace vanillaspar
{
class Clock;
class EventLog;
class MetricSink;
}

namespace vanillaspar::serving
{

struct Flow;
struct ClientRequest;

/** Tells the log and the metrics how requests fare, within a bound on lines a second. */
class RequestLog
{
public:
    RequestLog(const Clock &clock, EventLog &log);

    void onServed(const Flow &flow, Millis now);
    void onRefused(const ClientRequest &request, const Refusal &refusal, Millis now);
    /** A request was sent and came to no complete answer. */
    void onFailed(const Flow &flow, const std::string &why, Millis now);
    void onRetried(const Flow &flow, const std::string &why, Millis now);
    void onCallerLeft(const Flow &flow, Millis now);

private:
    bool mayWrite(Millis now);

    const Clock &m_clock;
    EventLog &m_log;
    Millis m_secondStart;
    int64_t m_lines = 0;
    int64_t m_dropped = 0;
    uint64_t m_served = 0;
};

}
