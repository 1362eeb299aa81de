#pragma once

#include "core/eventcode.h"
#include "core/refusal.h"
#include "core/units.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace vanillaspar
{
class EventLog;
}

namespace vanillaspar::serving
{

class RequestMetrics;
struct ActiveRequest;
struct ClientRequest;

/** Tells the log and the metrics how requests fare, the log within a bound on lines a second for each event. */
class RequestLog
{
public:
    /** @param metrics counts all of them, also those that the bound keeps out of the log. */
    RequestLog(EventLog &log, RequestMetrics &metrics);

    void onServed(const ActiveRequest &active, Millis now);
    /** @param active the request's course after its admission; nullptr if it was not admitted. */
    void onRefused(const ClientRequest &request, const Refusal &refusal, const ActiveRequest *active, Millis now);
    /** A request was sent and came to no complete answer. */
    void onFailed(const ActiveRequest &active, const std::string &why, Millis now);
    void onRetried(const ActiveRequest &active, const std::string &why, Millis now);
    void onCallerLeft(const ActiveRequest &active, Millis now);

private:
    using Subject = std::pair<EventCode, RefusalCode>;
    /** Lines of one subject in the present second. */
    struct Budget
    {
        int64_t lines = 0;
        int64_t dropped = 0;
    };

    bool allowLine(EventCode code, RefusalCode refusal, Millis now);
    void logDropped();

    EventLog &m_log;
    RequestMetrics &m_metrics;
    Millis m_secondStart;
    std::map<Subject, Budget> m_budgets;
    uint64_t m_served = 0;
};

}
