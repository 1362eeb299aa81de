#include "serving/requestlog.h"

#include "core/eventlog.h"
#include "serving/flow.h"
#include "serving/requestmetrics.h"

namespace vanillaspar::serving
{

namespace
{

constexpr Millis second(1000);
constexpr int64_t linesPerSecond
    = 25; // of each event; a few hundred lines a second at most, however many requests fail
constexpr uint64_t servedSample = 100; // one line for so many answers in time

/** @return what was decided for a request and from what, as fields. */
std::string describe(const Flow &flow, Millis now)
{
    const bool isSent = flow.sendCount > 0;
    std::string text = "route=" + flow.route.text() + " config=" + std::to_string(flow.config.value)
        + " priority=" + std::to_string(flow.priority) + " weights=" + flow.request.weights
        + " sends=" + std::to_string(flow.sendCount);
    if (isSent) {
        text += " replica=" + flow.replica.text() + " replica_load=" + std::to_string(flow.replicaLoad)
            + " waited_ms=" + std::to_string((flow.sentAt - flow.request.receivedAt).value);
    }
    if (flow.isEngine) {
        text += " holders=" + std::to_string(flow.shortage.holders)
            + " load_coming=" + (flow.shortage.isOneComing ? "yes" : "no");
    }
    return text + " age_ms=" + std::to_string((now - flow.request.receivedAt).value)
        + " left_ms=" + std::to_string((flow.endAt - now).value);
}

}

RequestLog::RequestLog(EventLog &log, RequestMetrics &metrics) : m_log(log), m_metrics(metrics)
{
}

bool RequestLog::mayWrite(EventCode code, RefusalCode refusal, Millis now)
{
    if (now - m_secondStart >= second) {
        tellDropped();
        m_secondStart = now;
        m_budgets.clear();
    }
    Budget &budget = m_budgets[{code, refusal}];
    if (budget.lines >= linesPerSecond) {
        ++budget.dropped;
        return false;
    }
    ++budget.lines;
    return true;
}

void RequestLog::tellDropped()
{
    for (const auto &[subject, budget] : m_budgets) {
        if (budget.dropped > 0) {
            const std::string refusal
                = subject.first == EventCode::RequestRefused ? " " + std::string(refusalName(subject.second)) : "";
            m_log.record(EventCode::LinesDropped, std::string(eventEntry(subject.first).name) + refusal,
                         std::to_string(budget.dropped) + " lines");
        }
    }
}

void RequestLog::onServed(const Flow &flow, Millis now)
{
    m_metrics.onServed(flow, now);
    const bool isLate = flow.answeredAt > flow.objectiveAt;
    if ((isLate || m_served++ % servedSample == 0) && mayWrite(EventCode::RequestServed, {}, now)) {
        m_log.record(EventCode::RequestServed, flow.request.id.text(),
                     describe(flow, now)
                         + " answer_after_ms=" + std::to_string((flow.answeredAt - flow.request.receivedAt).value)
                         + (isLate ? " late=yes" : " late=no"));
    }
}

void RequestLog::onRefused(const ClientRequest &request, const Refusal &refusal, const Flow *flow, Millis now)
{
    m_metrics.onRefused(refusal.code);
    if (mayWrite(EventCode::RequestRefused, refusal.code, now)) {
        m_log.record(EventCode::RequestRefused, request.id.text(),
                     "code=" + std::string(refusalName(refusal.code))
                         + " run=" + std::string(runStateName(refusal.runState))
                         + " retry_after_ms=" + std::to_string(refusal.retryAfter.value) + " "
                         + (flow != nullptr ? describe(*flow, now) : "sends=0 weights=" + request.weights)
                         + " why=" + refusal.detail);
    }
}

void RequestLog::onFailed(const Flow &flow, const std::string &why, Millis now)
{
    m_metrics.onFailed(flow);
    if (mayWrite(EventCode::RequestFailed, {}, now)) {
        m_log.record(EventCode::RequestFailed, flow.request.id.text(), describe(flow, now) + " why=" + why);
    }
}

void RequestLog::onRetried(const Flow &flow, const std::string &why, Millis now)
{
    m_metrics.onRetried(flow);
    if (mayWrite(EventCode::RequestRetried, {}, now)) {
        m_log.record(EventCode::RequestRetried, flow.request.id.text(), describe(flow, now) + " why=" + why);
    }
}

void RequestLog::onCallerLeft(const Flow &flow, Millis now)
{
    m_metrics.onCallerLeft(flow);
    if (mayWrite(EventCode::CallerLeft, {}, now)) {
        m_log.record(EventCode::CallerLeft, flow.request.id.text(), describe(flow, now));
    }
}

}
