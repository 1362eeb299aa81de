#pragma once

#include "core/eventcode.h"
#include "core/ids.h"
#include "core/refusal.h"
#include "core/units.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace vanillaspar
{
class EventLog;
struct RetryBudgetState;
}

namespace vanillaspar::serving
{

class RequestMetrics;
struct ActiveRequest;
class RequestTable;
struct ClientRequest;

/** Reports the outcome of requests to the log, limited to a number of lines per second and event, and to the metrics.
 */
class RequestLog
{
public:
    /** @param metrics gets all outcomes, also those that the limit keeps out of the log. */
    RequestLog(EventLog &log, RequestMetrics &metrics);

    /** A complete response was sent. Late ones are logged, of the others a sample. */
    void onServed(const ActiveRequest &active, Millis now);
    /** A request was refused. @param active nullptr if the request was not admitted. */
    void onRefused(const ClientRequest &request, const Refusal &refusal, const ActiveRequest *active, Millis now);
    /** A started response was aborted. @param why the reason, for the log. */
    void onFailed(const ActiveRequest &active, const std::string &why, Millis now);
    /** A request is retried. @param why the last attempt failed, for the log. */
    void onRetried(const ActiveRequest &active, const std::string &why, Millis now);
    /** A request was sent once more. @param budget of its pool on this host, this attempt included. */
    void onResent(const ActiveRequest &active, const RetryBudgetState &budget, Millis now);
    /** An attempt's connection ended before its response was complete. */
    void onAttemptBroken(const ActiveRequest &active, Millis now);
    /** A replica's response went beyond a limit. @param bytes that the request kept. */
    void onUnbounded(const ActiveRequest &active, size_t bytes, Millis now);
    /** A replica answers on an outdated version. @param supersededAt when the next version was announced. */
    void onOutdated(const ActiveRequest &active, int64_t version, Millis supersededAt, Millis now);
    /** A request is withdrawn from a replica that has not begun it. @param supersededAt as for onOutdated(). */
    void onWithdrawn(const ActiveRequest &active, Millis supersededAt, Millis now);
    /** The caller disconnected before its response was complete. */
    void onCallerLeft(const ActiveRequest &active, Millis now);
    /** The process ends and these requests have no complete response. */
    void onUnanswered(const RequestTable &requests, Millis now);

private:
    /** Lines are limited separately for each event and, of refusals, for each code. */
    using Subject = std::pair<EventCode, RefusalCode>;
    /** Lines of one subject in the current second. */
    struct Budget
    {
        int64_t lines = 0;
        int64_t dropped = 0;
    };

    /** Counts a line. @return whether it is within the limit. */
    bool allowLine(EventCode code, RefusalCode refusal, Millis now);
    /** Logs how many lines were dropped in the last second. */
    void logDropped();

    EventLog &m_log;
    RequestMetrics &m_metrics;
    Millis m_secondStart;
    std::map<Subject, Budget> m_budgets;
    uint64_t m_served = 0;
    std::map<PoolId, int64_t> m_resends; ///< Since the start, so that dropped lines show.
};

}
