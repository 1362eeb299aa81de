#include "serving/queueing/requestlog.h"

#include "core/eventlog.h"
#include "policy/retrybudget.h"
#include "serving/interfaces/requestmetrics.h"
#include "serving/queueing/activerequest.h"
#include "serving/queueing/requesttable.h"

namespace vanillaspar::serving
{

namespace
{

constexpr Millis second(1000);
// Per event; bounds the log to a few hundred lines per second when many requests fail.
constexpr int64_t linesPerSecond = 25;
constexpr size_t linesAtEnd = 500; // so that they fit into what standard output keeps when nobody reads it
constexpr uint64_t servedSampling = 100; // responses in time per logged one

/** @return the decisions for a request and their inputs as "key=value" fields. */
std::string describe(const ActiveRequest &active, Millis now)
{
    const bool isSent = active.attemptCount > 0;
    std::string text = "route=" + active.route.text() + " config=" + std::to_string(active.config.value)
        + " priority=" + std::to_string(active.priority) + " weights=" + active.request.weights
        + " sends=" + std::to_string(active.attemptCount);
    if (isSent) {
        text += " replica=" + active.replica.text() + " replica_load=" + std::to_string(active.replicaLoad)
            + " waited_ms=" + std::to_string((active.sentAt - active.request.receivedAt).value);
    }
    if (active.isEngine) {
        text += " holders=" + std::to_string(active.availability.holders)
            + " outdated=" + std::to_string(active.availability.outdated)
            + " load_coming=" + (active.availability.hasPendingLoad ? "yes" : "no");
        if (isSent) {
            text += " version=" + std::to_string(active.versions.resident) + " required="
                + std::to_string(active.versions.required) + " newest=" + std::to_string(active.versions.newest);
        }
    }
    return text + " age_ms=" + std::to_string((now - active.request.receivedAt).value)
        + " left_ms=" + std::to_string((active.deadline - now).value);
}

/** @return how far a request has come. */
std::string stateOf(const ActiveRequest &active)
{
    if (active.isResponding()) {
        return "answering";
    }
    return active.attempt != 0 ? "sent" : "waiting";
}

/** @return the parts of a prompt, separated by commas; "none" if it has none. */
std::string describeParts(const std::vector<PromptPartId> &parts)
{
    std::string text;
    for (const PromptPartId &part : parts) {
        text += (text.empty() ? "" : ",") + part.text();
    }
    return text.empty() ? "none" : text;
}

}

RequestLog::RequestLog(EventLog &log, RequestMetrics &metrics) : m_log(log), m_metrics(metrics)
{
}

bool RequestLog::allowLine(EventCode code, RefusalCode refusal, Millis now)
{
    if (now - m_secondStart >= second) {
        logDropped();
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

void RequestLog::logDropped()
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

void RequestLog::onServed(const ActiveRequest &active, Millis now)
{
    m_metrics.onServed(active, now);
    const bool isLate = active.answeredAt > active.lateAfter;
    if ((isLate || m_served++ % servedSampling == 0) && allowLine(EventCode::RequestServed, {}, now)) {
        m_log.record(EventCode::RequestServed, active.request.id.text(),
                     describe(active, now)
                         + " answer_after_ms=" + std::to_string((active.answeredAt - active.request.receivedAt).value)
                         + (isLate ? " late=yes" : " late=no"));
    }
}

void RequestLog::onRefused(const ClientRequest &request, const Refusal &refusal, const ActiveRequest *active,
                           Millis now)
{
    m_metrics.onRefused(refusal.code);
    if (allowLine(EventCode::RequestRefused, refusal.code, now)) {
        m_log.record(EventCode::RequestRefused, request.id.text(),
                     "code=" + std::string(refusalName(refusal.code))
                         + " run=" + std::string(runStateName(refusal.runState))
                         + " retry_after_ms=" + std::to_string(refusal.retryAfter.value) + " "
                         + (active != nullptr ? describe(*active, now) : "sends=0 weights=" + request.weights)
                         + " why=" + refusal.detail);
    }
}

void RequestLog::onFailed(const ActiveRequest &active, const std::string &why, Millis now)
{
    m_metrics.onFailed(active);
    if (allowLine(EventCode::RequestFailed, {}, now)) {
        m_log.record(EventCode::RequestFailed, active.request.id.text(), describe(active, now) + " why=" + why);
    }
}

void RequestLog::onRetried(const ActiveRequest &active, const std::string &why, Millis now)
{
    m_metrics.onRetried(active);
    if (allowLine(EventCode::RequestRetried, {}, now)) {
        m_log.record(EventCode::RequestRetried, active.request.id.text(), describe(active, now) + " why=" + why);
    }
}

void RequestLog::onResent(const ActiveRequest &active, const RetryBudgetState &budget, Millis now)
{
    const int64_t resends = ++m_resends[active.pool];
    if (allowLine(EventCode::RequestResent, {}, now)) {
        m_log.record(EventCode::RequestResent, active.request.id.text(),
                     "pool=" + active.pool.text() + " attempt=" + std::to_string(active.attemptCount)
                         + " replica=" + active.replica.text() + " charged=" + (active.isResendCharged ? "yes" : "no")
                         + " resends_since_start=" + std::to_string(resends) + " window_retries="
                         + std::to_string(budget.retries) + " window_requests=" + std::to_string(budget.requests)
                         + " left=" + std::to_string(budget.level) + " capacity=" + std::to_string(budget.capacity)
                         + " allowance=" + std::to_string(budget.allowance) + " why=" + active.resendCause);
    }
}

void RequestLog::onAttemptBroken(const ActiveRequest &active, Millis now)
{
    if (allowLine(EventCode::AttemptBroken, {}, now)) {
        const bool hasAnswer = active.attemptAnsweredAt.value >= 0;
        m_log.record(EventCode::AttemptBroken, active.request.id.text(),
                     "pool=" + active.pool.text() + " replica=" + active.replica.text()
                         + " team=" + (active.team ? active.team->text() : "none")
                         + " weights=" + active.request.weights + " attempt=" + std::to_string(active.attemptCount)
                         + " sent_ms_ago=" + std::to_string((now - active.sentAt).value) + " answered_ms_ago="
                         + (hasAnswer ? std::to_string((now - active.attemptAnsweredAt).value) : "none")
                         + " events=" + std::to_string(active.progress.count())
                         + " parts=" + describeParts(active.request.promptParts));
    }
}

void RequestLog::onUnbounded(const ActiveRequest &active, size_t bytes, Millis now)
{
    if (allowLine(EventCode::AnswerUnbounded, {}, now)) {
        m_log.record(EventCode::AnswerUnbounded, active.request.id.text(),
                     "pool=" + active.pool.text() + " replica=" + active.replica.text()
                         + " attempt=" + std::to_string(active.attemptCount) + " kept_bytes=" + std::to_string(bytes)
                         + " events=" + std::to_string(active.progress.count()));
    }
}

void RequestLog::onOutdated(const ActiveRequest &active, int64_t version, Millis supersededAt, Millis now)
{
    if (allowLine(EventCode::AnswerOutdated, {}, now)) {
        m_log.record(EventCode::AnswerOutdated, active.request.id.text(),
                     describe(active, now) + " answered_version=" + std::to_string(version)
                         + " sent_ms_ago=" + std::to_string((now - active.sentAt).value)
                         + " superseded_ms_ago=" + std::to_string((now - supersededAt).value));
    }
}

void RequestLog::onWithdrawn(const ActiveRequest &active, Millis supersededAt, Millis now)
{
    if (allowLine(EventCode::RequestWithdrawn, {}, now)) {
        m_log.record(EventCode::RequestWithdrawn, active.request.id.text(),
                     describe(active, now) + " sent_ms_ago=" + std::to_string((now - active.sentAt).value)
                         + " superseded_ms_ago=" + std::to_string((now - supersededAt).value));
    }
}

void RequestLog::onCallerLeft(const ActiveRequest &active, Millis now)
{
    m_metrics.onCallerLeft(active);
    if (allowLine(EventCode::CallerLeft, {}, now)) {
        m_log.record(EventCode::CallerLeft, active.request.id.text(), describe(active, now));
    }
}

void RequestLog::onUnanswered(const RequestTable &requests, Millis now)
{
    logDropped();
    m_budgets.clear();
    size_t lines = 0;
    for (const auto &[exchange, active] : requests.all()) {
        if (++lines > linesAtEnd) {
            break;
        }
        m_log.record(EventCode::RequestUnanswered, active->request.id.text(),
                     "state=" + stateOf(*active) + " " + describe(*active, now)
                         + " events=" + std::to_string(active->progress.count()));
    }
    if (requests.all().size() > linesAtEnd) {
        m_log.record(EventCode::LinesDropped, std::string(eventEntry(EventCode::RequestUnanswered).name),
                     std::to_string(requests.all().size() - linesAtEnd) + " lines");
    }
}

}
