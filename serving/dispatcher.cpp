#include "serving/dispatcher.h"

#include "cluster/messages/fleet.h"
#include "core/clock.h"
#include "policy/replicapause.h"
#include "policy/requestfingerprint.h"
#include "serving/admission/admission.h"
#include "serving/guards/promptguard.h"
#include "serving/interfaces/responsewriter.h"
#include "serving/placement/enginechooser.h"
#include "serving/queueing/requestlog.h"
#include "serving/replicas/adapterversions.h"
#include "serving/replicas/backendtable.h"
#include "serving/replicas/residencymap.h"

#include <algorithm>
#include <vector>

namespace vanillaspar::serving
{

namespace
{

constexpr Millis normalWait(300); // time to request an adapter and load it from the weight store
constexpr Millis resumeWait(600); // callers abandon a stream after some seconds without an event
constexpr int maxAttempts = 4; // per request; a refused attempt is cheap, but is charged to the retry budget
constexpr Millis retryPause(25); // before a request is sent again to a replica that refused it
constexpr Millis overloadRetry(300); // about the time in which a batch completes a few of its requests
constexpr Millis noReplicaRetry(1000);
constexpr size_t maxEventBytes = 1024UL * 1024; // of a resumable stream; events hold a few tokens
constexpr size_t maxIncompleteBytes = 16UL * 1024 * 1024; // of all streams together, a tenth of a small host's memory

}

Dispatcher::Dispatcher(DispatchContext context)
    : m_context(std::move(context))
    , m_services(m_context.backends, m_context.domain, m_context.latencies, m_context.random)
    , m_versionGuard(m_context.clock, m_context.versions, m_context.residency, m_context.log)
    , m_tracker(m_context.clock, m_context.backends, m_context.chooser, m_context.prompts, m_versionGuard,
                m_context.log, m_context.latencies)
    , m_overload(m_context.backends, m_context.admission)
    , m_incompleteEvents(maxEventBytes, maxIncompleteBytes)
{
}

Dispatcher::~Dispatcher() = default;

void Dispatcher::setRetryLimits(const RetryLimits &limits)
{
    m_retryBudgets.configure(limits, m_context.clock.now());
}

void Dispatcher::beginStop(Millis grace)
{
    m_stopGate.close(m_context.clock.now(), grace);
}

void Dispatcher::onRequest(ClientRequest request)
{
    const Millis now = m_context.clock.now();
    request.fingerprint = requestFingerprint(request.weights, request.promptParts);
    const std::variant<Admitted, Refusal> decision = m_context.admission.resolve(request, now);
    if (const Refusal *refusal = std::get_if<Refusal>(&decision)) {
        reject(request, nullptr, *refusal);
        return;
    }
    const Admitted &admitted = std::get<Admitted>(decision);
    if (const std::optional<Refusal> refusal = checkAccepted(request, admitted)) {
        reject(request, nullptr, *refusal);
        return;
    }
    if (const std::optional<Refusal> refusal = m_context.admission.charge(admitted, now)) {
        reject(request, nullptr, *refusal);
        return;
    }
    ActiveRequest &active = m_requests.add(makeActiveRequest(std::move(request), admitted));
    m_retryBudgets.of(active.pool, now).onRequest(now);
    m_overload.onArrived(active, now);
    placeOrQueue(active);
}

std::optional<Refusal> Dispatcher::checkAccepted(const ClientRequest &request, const Admitted &admitted) const
{
    const std::optional<Refusal> refusal = m_stopGate.check(request, admitted, m_context.clock.now());
    return refusal ? refusal : m_context.prompts.check(request);
}

void Dispatcher::reject(const ClientRequest &request, const ActiveRequest *active, const Refusal &refusal)
{
    m_context.log.onRefused(request, refusal, active, m_context.clock.now());
    m_context.callers.refuse(request.exchange, refusal);
}

void Dispatcher::placeOrQueue(ActiveRequest &active)
{
    if (tryPlace(active) != Placement::Waits) {
        return;
    }
    if (const std::optional<Refusal> refusal = m_overload.checkWait(active, m_waiting, m_context.clock.now())) {
        refuse(active, *refusal);
        return;
    }
    m_waiting.insert(active);
}

Dispatcher::Placement Dispatcher::tryPlace(ActiveRequest &active)
{
    const Millis now = m_context.clock.now();
    if (const std::optional<Refusal> refusal = m_context.admission.checkKey(active.request, active.isPublic, now)) {
        refuse(active, *refusal);
        return Placement::Ended;
    }
    if (const std::optional<Refusal> refusal = m_context.prompts.check(active.request)) {
        refuse(active, *refusal);
        return Placement::Ended;
    }
    if (now < active.notBefore || m_context.prompts.mustWait(active.request)) {
        return Placement::Waits;
    }
    const EngineSpec *engine = active.isEngine ? m_context.admission.engineOf(active.pool) : nullptr;
    if (active.isEngine && engine == nullptr) {
        refuse(active, {RefusalCode::NoReplica, RunState::NotRun, noReplicaRetry, "the pool is no longer configured"});
        return Placement::Ended;
    }
    const ReplicaChoice choice
        = active.isEngine ? m_context.chooser.choose(active, *engine, now) : m_services.choose(active, now);
    active.availability = choice.availability;
    if (!choice.hasCandidates) {
        refuse(active,
               {RefusalCode::NoReplica, RunState::NotRun, noReplicaRetry, "no replica of the pool accepts requests"});
        return Placement::Ended;
    }
    if (choice.pausedUntil) {
        const PausedPlacement placement
            = placeDuringPause(*choice.pausedUntil, active.waitDeadline, active.returnSpread(), now);
        if (!placement.waits) {
            refuse(active,
                   {RefusalCode::Overloaded, RunState::NotRun, placement.retryAfter,
                    "all replicas of the pool are paused or cold"});
        }
        return placement.waits ? Placement::Waits : Placement::Ended;
    }
    if (choice.loadTarget != nullptr) {
        m_adapterDemand.onNeeded(choice.loadTarget->info.id, active.request.weights,
                                 now + normalWait < active.lateAfter);
    }
    if (choice.backend != nullptr && !m_overload.mustHold(active, *choice.backend, now)) {
        send(active, *choice.backend);
        return Placement::Sent;
    }
    if (!active.isEngine) {
        active.excluded.clear(); // all refused once; they may have capacity in the next round
    }
    return Placement::Waits;
}

void Dispatcher::send(ActiveRequest &active, BackendState &backend)
{
    const Millis now = m_context.clock.now();
    m_requests.startAttempt(active);
    active.replica = backend.info.id;
    active.sentAt = now;
    active.replicaLoad = backend.slotLoad();
    active.outcome = AttemptOutcome::None;
    ++active.attemptCount;
    const bool isRepeated = !active.sentTo.insert(backend.info.id).second;
    if (active.attemptCount > 1) {
        m_context.log.onResent(active, m_retryBudgets.of(active.pool, now).state(now), now);
    }
    m_overload.onSent(active, now);
    m_tracker.onSending(active, backend);
    m_context.attempts.send(active.attempt, backend.info, active.request,
                            {active.deadline - now, active.team, active.priority, isRepeated, active.versions.expected,
                             active.events.lastId()});
}

void Dispatcher::sendWaiting()
{
    m_waiting.observe(m_context.clock.now());
    // Sending a request may end it or others and so change the queue.
    for (const uint64_t exchange : m_overload.order(m_waiting.exchanges(), m_requests, m_context.clock.now())) {
        ActiveRequest *active = m_requests.find(exchange);
        if (active == nullptr || active->attempt != 0 || tryPlace(*active) != Placement::Sent) {
            continue;
        }
        if (const ActiveRequest *sent = m_requests.find(exchange)) {
            m_waiting.onSent(*sent);
        }
    }
}

void Dispatcher::tick()
{
    m_context.prompts.tick();
    sendWaiting();
    const Millis now = m_context.clock.now();
    std::vector<std::pair<uint64_t, void (Dispatcher::*)(ActiveRequest &)>> due;
    for (const auto &[exchange, active] : m_requests.all()) {
        if (active->attempt != 0 && !active->isResponding() && m_context.prompts.findBlocked(active->request)) {
            due.emplace_back(exchange, &Dispatcher::withdraw);
            continue;
        }
        if (now >= (active->attempt == 0 ? active->waitDeadline : active->deadline) || m_overload.isHopeless(*active)) {
            due.emplace_back(exchange, &Dispatcher::expire);
        } else if (m_tracker.isOutcomeOverdue(*active) || m_versionGuard.mustWithdraw(*active)) {
            due.emplace_back(exchange, &Dispatcher::breakOff);
        }
        if (active->attempt != 0 && !active->isResponding()) {
            m_tracker.onWaiting(*active);
        }
    }
    if (m_stopGate.isOver(now)) {
        refuseUnanswered();
        return;
    }
    for (const auto &[exchange, act] : due) {
        if (ActiveRequest *active = m_requests.find(exchange)) {
            (this->*act)(*active);
        }
    }
}

void Dispatcher::refuseUnanswered()
{
    for (const uint64_t exchange : m_requests.unanswered()) {
        ActiveRequest &active = *m_requests.find(exchange);
        const bool isSent = active.attempt != 0;
        refuse(active,
               {isSent ? RefusalCode::OutcomeUnknown : RefusalCode::ShuttingDown,
                isSent ? RunState::Unknown : RunState::NotRun, Millis(0), "this host is stopping"});
    }
}

void Dispatcher::withdraw(ActiveRequest &active)
{
    refuse(active, outcomeUnknown("withdrawn from its replica, as a part of its prompt has crashed others"));
}

void Dispatcher::expire(ActiveRequest &active)
{
    if (active.attempt == 0) {
        refuse(active, m_overload.waitRefusal(active, m_context.clock.now()));
        return;
    }
    if (active.isResponding()) {
        abortResponse(active, "the deadline passed before the response was complete");
        return;
    }
    refuse(active,
           {RefusalCode::DeadlineTooShort, RunState::Unknown, Millis(0),
            "the replica did not respond before the deadline"});
}

void Dispatcher::onCallerGone(uint64_t exchange)
{
    if (ActiveRequest *active = m_requests.find(exchange)) {
        m_context.log.onCallerLeft(*active, m_context.clock.now());
        erase(*active);
    }
}

void Dispatcher::onAttemptHead(uint64_t attempt, const AttemptHead &head)
{
    ActiveRequest *active = m_requests.findByAttempt(attempt);
    if (active == nullptr) {
        return;
    }
    m_tracker.onAlive(*active);
    if (head.wasNotExecuted) {
        m_tracker.onOutcome(*active, reasonNotExecuted(head, active->isEngine));
        return;
    }
    if (!head.isSigned) {
        // A working replica signs its responses. This one is dropped, and the attempt may have been executed.
        breakOff(*active);
        return;
    }
    if (active->withholdsFailure(head)) {
        m_tracker.onOutcome(*active, AttemptOutcome::Failed);
        return;
    }
    m_tracker.onAnswered(*active, head);
    if (active->isResponding()) {
        // The status of a resumed stream was already forwarded, so a further failure can't be reported to the caller.
        if (!active->isContinuedBy(head.head)) {
            m_tracker.onOutcome(*active, AttemptOutcome::Failed);
        }
        return;
    }
    active->beginResponse(head.head, m_context.clock.now());
    m_tracker.onForwarded(*active, head.head.isSuccess());
    if (active->isResumable) {
        head.head.hasLength = false; // another replica may go on with another length
    }
    m_context.callers.startAnswer(active->request.exchange, head.head);
}

void Dispatcher::onAttemptBody(uint64_t attempt, std::string_view data)
{
    ActiveRequest *active = m_requests.findByAttempt(attempt);
    const bool isDiscarded = active != nullptr && active->outcome != AttemptOutcome::None;
    if (isDiscarded && m_tracker.onDiscarded(*active, data)) {
        breakOff(*active);
        return;
    }
    if (isDiscarded || active == nullptr || !active->isResponding()) {
        return;
    }
    m_tracker.onBody(*active, data);
    if (!active->isResumable) {
        m_context.callers.append(active->request.exchange, data);
        return;
    }
    const uint64_t exchange = active->request.exchange;
    const std::string events = active->events.append(data);
    m_incompleteEvents.update(exchange, active->events.incompleteBytes());
    if (!events.empty()) {
        m_context.callers.append(exchange, events); // may end the request
    }
    limitIncompleteEvents();
}

void Dispatcher::limitIncompleteEvents()
{
    while (const std::optional<uint64_t> exchange = m_incompleteEvents.findExcess()) {
        ActiveRequest &excessive = *m_requests.find(*exchange);
        m_context.log.onUnbounded(excessive, excessive.events.incompleteBytes(), m_context.clock.now());
        breakOff(excessive);
    }
}

void Dispatcher::breakOff(ActiveRequest &active)
{
    const uint64_t attempt = active.attempt;
    m_context.attempts.cancel(attempt);
    onAttemptEnd(attempt, UpstreamEnd::Malformed);
}

void Dispatcher::onAttemptEnd(uint64_t attempt, UpstreamEnd how)
{
    ActiveRequest *active = m_requests.findByAttempt(attempt);
    if (active == nullptr) {
        return;
    }
    how = m_tracker.onEnded(*active, how);
    m_requests.endAttempt(*active);
    if (how == UpstreamEnd::NotSent) {
        m_context.backends.onFailure(active->replica, true, m_context.clock.now());
        active->excluded.insert(active->replica);
        retryOrRefuse(*active, false, RefusalCode::NoReplica, "the replica could not be reached");
    } else if (active->isResponding() && active->outcome == AttemptOutcome::None) {
        if (how == UpstreamEnd::Complete) {
            complete(*active);
        } else {
            onResponseInterrupted(*active);
        }
    } else if (active->outcome == AttemptOutcome::None || active->outcome == AttemptOutcome::Failed) {
        onResponseLost(*active);
    } else {
        onNotExecuted(*active);
    }
    sendWaiting();
}

void Dispatcher::onNotExecuted(ActiveRequest &active)
{
    const Millis now = m_context.clock.now();
    if (active.outcome == AttemptOutcome::OtherServer) {
        m_context.backends.onFailure(active.replica, true, now);
        active.excluded.insert(active.replica);
        retryOrRefuse(active, true, RefusalCode::NoReplica, "another server uses the replica's address");
        return;
    }
    if (active.outcome == AttemptOutcome::AdapterMissing) {
        m_context.residency.onNotResident(active.replica, active.request.weights);
        m_adapterDemand.onMissing(active.replica, active.request.weights);
        retryOrRefuse(active, true, RefusalCode::LoadFailed, "the adapter is not resident in the replica");
        return;
    }
    if (active.isEngine) {
        // Loading the adapter, or full: other replicas are preferred, and it is tried again after a pause.
        m_context.residency.pause(active.replica, active.request.weights, now + retryPause);
    } else {
        active.excluded.insert(active.replica);
    }
    active.notBefore = now + (active.attemptCount > 1 ? retryPause : Millis(0));
    retryOrRefuse(active, true, RefusalCode::Overloaded, "the replica refused the request without executing it");
}

bool Dispatcher::recordPossibleRun(ActiveRequest &active)
{
    if (!active.isWithdrawn) {
        m_context.backends.onFailure(active.replica, false, m_context.clock.now());
    }
    active.mayHaveRunOn.insert(active.replica);
    return static_cast<int>(active.mayHaveRunOn.size()) < active.maxReplicas;
}

void Dispatcher::onResponseInterrupted(ActiveRequest &active)
{
    if (!recordPossibleRun(active) || !active.isResumable || !active.events.isResumable()
        || m_context.prompts.isSuspect(active.request)) {
        abortResponse(active, "the replica interrupted its response");
        return;
    }
    active.events.discardIncomplete();
    m_incompleteEvents.update(active.request.exchange, 0);
    active.waitDeadline = std::min(m_context.clock.now() + resumeWait, active.deadline);
    retryOrRefuse(active, true, RefusalCode::OutcomeUnknown,
                  "the stream is resumed after event " + active.events.lastId());
}

void Dispatcher::onResponseLost(ActiveRequest &active)
{
    const std::string why
        = active.outcome == AttemptOutcome::Failed ? "the replica failed the request" : "the replica's answer was lost";
    if (recordPossibleRun(active) && active.isRetryable() && !m_context.prompts.isSuspect(active.request)) {
        retryOrRefuse(active, true, RefusalCode::OutcomeUnknown, why);
        return;
    }
    refuse(active, outcomeUnknown(why));
}

void Dispatcher::retryOrRefuse(ActiveRequest &active, bool countsAsRetry, RefusalCode code, const std::string &why)
{
    const Millis now = m_context.clock.now();
    const bool hasBudget = !countsAsRetry || m_retryBudgets.of(active.pool, now).tryConsumeRetry(now);
    if (!hasBudget || active.attemptCount >= maxAttempts || now >= active.deadline) {
        refuse(active, {code, RunState::NotRun, overloadRetry, why + (hasBudget ? "" : "; no retry budget left")});
        return;
    }
    active.resendCause = why;
    active.isResendCharged = countsAsRetry;
    m_context.log.onRetried(active, why, now);
    placeOrQueue(active);
}

void Dispatcher::complete(ActiveRequest &active)
{
    m_tracker.onCompleted(active);
    m_context.log.onServed(active, m_context.clock.now());
    m_stopGate.onServed(active, m_context.clock.now());
    m_overload.onServed(active, m_context.clock.now());
    const uint64_t exchange = active.request.exchange;
    if (const std::string rest = active.events.takeIncomplete(); !rest.empty()) {
        m_context.callers.append(exchange, rest); // may end the request
    }
    if (ActiveRequest *completed = m_requests.find(exchange)) {
        m_context.callers.finish(exchange);
        erase(*completed);
    }
}

void Dispatcher::refuse(ActiveRequest &active, Refusal refusal)
{
    if (active.isResponding()) {
        abortResponse(active, refusal.detail); // the stream could not be resumed
        return;
    }
    const Millis now = m_context.clock.now();
    if (refusal.runState == RunState::NotRun && active.mayHaveRun()) {
        refusal = outcomeUnknown(refusal.detail + "; an earlier attempt may have run");
    }
    if (active.team && refusal.runState == RunState::NotRun) {
        m_context.admission.refund(*active.team, active.cost, now);
    }
    reject(active.request, &active, refusal);
    erase(active);
}

void Dispatcher::abortResponse(ActiveRequest &active, const std::string &why)
{
    m_context.log.onFailed(active, why, m_context.clock.now());
    m_context.callers.abort(active.request.exchange);
    erase(active);
}

void Dispatcher::erase(ActiveRequest &active)
{
    if (active.attempt != 0) {
        m_context.attempts.cancel(active.attempt);
        m_tracker.onReleased(active);
        m_requests.endAttempt(active);
    }
    m_incompleteEvents.update(active.request.exchange, 0);
    m_waiting.erase(active);
    m_requests.erase(active);
}

std::vector<AdapterRequest> Dispatcher::takeAdapterRequests()
{
    return m_adapterDemand.takeRequests(m_context.versions, m_context.clock.now());
}

}
