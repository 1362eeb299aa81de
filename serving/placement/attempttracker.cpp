#include "serving/placement/attempttracker.h"

#include "core/clock.h"
#include "serving/guards/promptguard.h"
#include "serving/interfaces/attemptsender.h"
#include "serving/placement/enginechooser.h"
#include "serving/placement/replicalatencies.h"
#include "serving/placement/versionguard.h"
#include "serving/queueing/activerequest.h"
#include "serving/queueing/requestlog.h"
#include "serving/replicas/backendtable.h"

namespace vanillaspar::serving
{

namespace
{

// The rest of a response whose head says enough is read only so that its connection can be used again.
constexpr size_t maxDiscardedBytes = 64UL * 1024;
constexpr Millis discardTimeout(250);

}

AttemptTracker::AttemptTracker(const Clock &clock, BackendTable &backends, EngineChooser &chooser, PromptGuard &prompts,
                               VersionGuard &versions, RequestLog &log, ReplicaLatencies *latencies)
    : m_clock(clock)
    , m_backends(backends)
    , m_chooser(chooser)
    , m_prompts(prompts)
    , m_versions(versions)
    , m_log(log)
    , m_latencies(latencies)
{
}

void AttemptTracker::onSending(ActiveRequest &active, const BackendState &backend)
{
    active.attemptAnsweredAt = Millis(-1);
    active.hasBegun = false;
    active.isWithdrawn = false;
    active.progress = {};
    active.outcomeAt = Millis(-1);
    active.discardedBytes = 0;
    active.pendingPrefill = active.request.promptTokens.value;
    m_versions.onSending(active);
    m_prompts.onSent(active);
    if (m_latencies != nullptr) {
        m_latencies->onSending(active, backend);
    }
    m_chooser.onSending(active, backend);
    m_backends.onSent(backend.info.id, active.tokens, active.pendingPrefill, active.priority);
}

void AttemptTracker::onWaiting(ActiveRequest &active)
{
    if (active.isEngine) {
        m_chooser.onWaiting(active, m_clock.now());
    }
    if (m_latencies != nullptr) {
        m_latencies->onWaiting(active, m_clock.now());
    }
}

void AttemptTracker::onAlive(const ActiveRequest &active)
{
    m_backends.onAlive(active.replica, m_clock.now());
}

void AttemptTracker::onOutcome(ActiveRequest &active, AttemptOutcome outcome)
{
    active.outcome = outcome;
    active.outcomeAt = m_clock.now();
    if (m_latencies != nullptr && outcome == AttemptOutcome::NotExecuted) {
        m_latencies->onRejected(active, active.outcomeAt);
    }
}

bool AttemptTracker::onDiscarded(ActiveRequest &active, std::string_view data)
{
    active.discardedBytes += data.size();
    if (active.discardedBytes <= maxDiscardedBytes) {
        return false;
    }
    m_log.onUnbounded(active, active.discardedBytes, m_clock.now());
    return true;
}

bool AttemptTracker::isOutcomeOverdue(const ActiveRequest &active) const
{
    return active.attempt != 0 && active.outcome != AttemptOutcome::None && active.outcomeAt.value >= 0
        && m_clock.now() - active.outcomeAt > discardTimeout;
}

void AttemptTracker::onAnswered(ActiveRequest &active, const AttemptHead &head)
{
    active.attemptAnsweredAt = m_clock.now();
    active.endsWithConnection = head.head.endsWithConnection;
    m_versions.onAnswered(active, head.weightsVersion);
}

void AttemptTracker::onForwarded(ActiveRequest &active, bool isSuccess)
{
    if (active.isEngine && isSuccess) {
        m_chooser.onFirstEvent(active, active.answeredAt);
    }
    if (m_latencies != nullptr && isSuccess) {
        m_latencies->onAnswered(active, active.answeredAt);
    }
    m_backends.onPromptProcessed(active.replica, active.pendingPrefill, active.priority);
    active.pendingPrefill = 0;
}

void AttemptTracker::onBody(ActiveRequest &active, std::string_view data)
{
    onAlive(active);
    active.hasBegun = true;
    active.progress.scan(data);
    if (active.hasProgressed(m_clock.now())) {
        m_prompts.onProgressed(active);
    }
}

UpstreamEnd AttemptTracker::onEnded(ActiveRequest &active, UpstreamEnd how)
{
    const bool isForwarded = active.isResponding() && active.outcome == AttemptOutcome::None;
    if (how == UpstreamEnd::Complete && isForwarded && active.isCutShort()) {
        how = UpstreamEnd::Broken;
    }
    if (how == UpstreamEnd::Broken) {
        m_log.onAttemptBroken(active, m_clock.now());
        m_prompts.onBroken(active);
    } else if (how == UpstreamEnd::Complete && isForwarded) {
        m_prompts.onCompleted(active);
    }
    onReleased(active);
    return how;
}

void AttemptTracker::onReleased(ActiveRequest &active)
{
    m_prompts.onEnded(active);
    m_backends.onPromptProcessed(active.replica, active.pendingPrefill, active.priority);
    m_backends.onEnded(active.replica, active.tokens);
    active.pendingPrefill = 0;
}

void AttemptTracker::onCompleted(const ActiveRequest &active)
{
    m_backends.onSuccess(active.replica);
    if (active.isEngine) {
        m_chooser.onCompleted(active, m_clock.now());
    }
    if (m_latencies != nullptr) {
        m_latencies->onCompleted(active, m_clock.now());
    }
}

}
