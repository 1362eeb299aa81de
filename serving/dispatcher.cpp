#include "serving/dispatcher.h"

#include "cluster/messages/fleet.h"
#include "core/clock.h"
#include "serving/adapterversions.h"
#include "serving/admission.h"
#include "serving/backendtable.h"
#include "serving/callerport.h"
#include "serving/enginechooser.h"
#include "serving/requestlog.h"
#include "serving/residencymap.h"

#include <algorithm>
#include <vector>

namespace vanillaspar::serving
{

namespace
{

// A request that would wait for longer than this part of its objective is refused at once: what is left is needed to
// read its prompt.
constexpr double waitingPart = 0.75;
constexpr Millis usualWait(300); // for a load from the weight store, on its way and back
constexpr Millis resumeWait(600); // callers leave a stream after some seconds without an event
constexpr int mostSends = 4; // of one request; each is cheap to refuse, but counts against the retry budget
constexpr Millis repeatPause(25); // before a request goes to a replica that has just refused it
constexpr Millis overloadRetry(300); // about the time a batch needs to end a few of its requests
constexpr Millis noReplicaRetry(1000);
constexpr Millis stoppingRetry(50); // callers choose another host at once
constexpr int firstServerError = 500;
constexpr int firstRedirect = 300;
constexpr int firstSuccess = 200;

/** @return what a replica means that has not run the request. */
AttemptVerdict verdictOf(const AttemptHead &head, bool isEngine)
{
    if (head.isOtherServer) {
        return AttemptVerdict::OtherServer;
    }
    return isEngine && head.isMisdirected ? AttemptVerdict::AdapterMissing : AttemptVerdict::NotRun;
}

}

Dispatcher::Dispatcher(DispatchContext context)
    : m_context(std::move(context)), m_services(m_context.backends, m_context.domain)
{
}

Dispatcher::~Dispatcher() = default;

void Dispatcher::setRetryBounds(double ratio, double allowance, Millis window)
{
    m_retryRatio = ratio;
    m_retryAllowance = allowance;
    m_retryWindow = window;
    for (auto &[pool, budget] : m_budgets) {
        budget.configure(ratio, allowance, window);
    }
}

RetryBudget &Dispatcher::budgetOf(const PoolId &pool)
{
    const auto entry = m_budgets.find(pool);
    if (entry != m_budgets.end()) {
        return entry->second;
    }
    RetryBudget &budget = m_budgets[pool];
    budget.configure(m_retryRatio, m_retryAllowance, m_retryWindow);
    return budget;
}

void Dispatcher::onRequest(ClientRequest request)
{
    const Millis now = m_context.clock.now();
    if (!m_isAccepting) {
        reject(request, nullptr, {RefusalCode::ShuttingDown, RunState::NotRun, stoppingRetry, "this host is stopping"});
        return;
    }
    const std::variant<Admitted, Refusal> decision = m_context.admission.admit(request, now);
    if (const Refusal *refusal = std::get_if<Refusal>(&decision)) {
        reject(request, nullptr, *refusal);
        return;
    }
    const Admitted &admitted = std::get<Admitted>(decision);
    if (!m_isAcceptingStreams && admitted.route->kind == RequestKind::Stream) {
        if (admitted.team != nullptr) {
            m_context.admission.giveBack(admitted.team->id, admitted.cost, now);
        }
        reject(
            request, nullptr,
            {RefusalCode::ShuttingDown, RunState::NotRun, stoppingRetry, "this host is stopping and takes no streams"});
        return;
    }
    std::unique_ptr<Flow> owned = makeFlow(std::move(request), admitted);
    Flow &flow = *owned;
    m_flows.emplace(flow.request.exchange, std::move(owned));
    budgetOf(flow.pool).onRequest(now);
    settle(flow);
}

void Dispatcher::reject(const ClientRequest &request, const Flow *flow, const Refusal &refusal)
{
    m_context.log.onRefused(request, refusal, flow, m_context.clock.now());
    m_context.callers.refuse(request.exchange, refusal);
}

void Dispatcher::settle(Flow &flow)
{
    if (place(flow) != Placement::Waits) {
        return;
    }
    const int64_t ahead = aheadOf(flow);
    const Millis wait = m_waitEstimates[flow.pool].expectedWait(ahead);
    const bool isTooLong = m_context.clock.now() + wait > flow.request.receivedAt + flow.objective * waitingPart;
    // A stream that is resumed waits until resumeWait is over.
    if (isTooLong && !flow.isAnswering()) {
        refuse(flow,
               {RefusalCode::Overloaded, RunState::NotRun, std::max(wait, overloadRetry),
                "expected wait " + std::to_string(wait.value) + " ms behind " + std::to_string(ahead) + " requests"});
        return;
    }
    m_waiting.insert(waitingKeyOf(flow));
}

int64_t Dispatcher::aheadOf(const Flow &flow) const
{
    int64_t ahead = 0;
    for (const auto &[priority, exchange] : m_waiting) {
        if (priority > flow.priority) {
            break;
        }
        ahead += m_flows.at(exchange)->pool == flow.pool ? 1 : 0;
    }
    return ahead;
}

Dispatcher::Placement Dispatcher::place(Flow &flow)
{
    const Millis now = m_context.clock.now();
    if (const std::optional<Refusal> refusal = m_context.admission.checkAgain(flow.request, flow.isPublic, now)) {
        refuse(flow, *refusal);
        return Placement::Ended;
    }
    if (now < flow.retryAt) {
        return Placement::Waits;
    }
    const EngineSpec *engine = flow.isEngine ? m_context.admission.engineOf(flow.pool) : nullptr;
    if (flow.isEngine && engine == nullptr) {
        refuse(flow, {RefusalCode::NoReplica, RunState::NotRun, noReplicaRetry, "the pool is no longer configured"});
        return Placement::Ended;
    }
    const ReplicaChoice choice
        = flow.isEngine ? m_context.chooser.choose(flow, *engine, now) : m_services.choose(flow, now);
    flow.shortage = choice.shortage;
    if (!choice.isPossible) {
        refuse(flow, {RefusalCode::NoReplica, RunState::NotRun, noReplicaRetry, "no replica of the pool takes work"});
        return Placement::Ended;
    }
    if (choice.loadOn != nullptr) {
        m_wantedLoads[{choice.loadOn->info.id, flow.request.weights}] += 1;
    }
    if (choice.backend != nullptr) {
        send(flow, *choice.backend);
        return Placement::Sent;
    }
    if (!flow.isEngine) {
        flow.avoided.clear(); // all have refused once; the next round may find room
    }
    return Placement::Waits;
}

void Dispatcher::send(Flow &flow, BackendState &backend)
{
    const Millis now = m_context.clock.now();
    flow.attempt = m_nextAttempt++;
    flow.replica = backend.info.id;
    flow.sentAt = now;
    flow.replicaLoad = backend.slotLoad();
    flow.verdict = AttemptVerdict::None;
    ++flow.sendCount;
    m_exchangeByAttempt[flow.attempt] = flow.request.exchange;
    flow.unread = flow.request.promptTokens.value;
    m_context.backends.onSent(backend.info.id, flow.tokens, flow.unread);
    m_context.attempts.send(flow.attempt, backend.info, flow.request,
                            {flow.endAt - now, flow.team, flow.priority, flow.isRepeatable(), flow.events.lastId()});
}

Dispatcher::WaitingKey Dispatcher::waitingKeyOf(const Flow &flow)
{
    return {flow.priority, flow.request.exchange};
}

void Dispatcher::sendWaiting()
{
    const Millis now = m_context.clock.now();
    std::set<PoolId> behind;
    for (const auto &[priority, exchange] : m_waiting) {
        const Flow &flow = *m_flows.at(exchange);
        if (now - flow.request.receivedAt > usualWait) {
            behind.insert(flow.pool);
        }
    }
    for (auto &[pool, estimate] : m_waitEstimates) {
        estimate.observe(behind.count(pool) > 0, now);
    }
    // Placing a request may end others, or itself.
    const std::vector<WaitingKey> keys(m_waiting.begin(), m_waiting.end());
    for (const WaitingKey &key : keys) {
        const auto entry = m_flows.find(key.second);
        if (entry == m_flows.end() || entry->second->attempt != 0) {
            continue;
        }
        const PoolId pool = entry->second->pool;
        if (place(*entry->second) == Placement::Sent) {
            m_waiting.erase(key);
            m_waitEstimates[pool].onSent();
        }
    }
}

void Dispatcher::tick()
{
    sendWaiting();
    const Millis now = m_context.clock.now();
    std::vector<uint64_t> overdue;
    for (const auto &[exchange, flow] : m_flows) {
        const bool waitsTooLong = flow->attempt == 0 && now >= flow->giveUpAt;
        if (now >= flow->endAt || waitsTooLong) {
            overdue.push_back(exchange);
        }
    }
    for (const uint64_t exchange : overdue) {
        endOverdue(*m_flows.at(exchange));
    }
}

void Dispatcher::endOverdue(Flow &flow)
{
    if (flow.attempt == 0) {
        refuse(flow, {RefusalCode::Overloaded, RunState::NotRun, overloadRetry, "no replica had room in time"});
        return;
    }
    if (flow.isAnswering()) {
        breakOff(flow, "the time for the answer is over");
        return;
    }
    refuse(flow, {RefusalCode::DeadlineTooShort, RunState::Unknown, Millis(0), "the replica did not answer in time"});
}

void Dispatcher::onCallerGone(uint64_t exchange)
{
    const auto entry = m_flows.find(exchange);
    if (entry != m_flows.end()) {
        Flow &flow = *entry->second;
        m_context.log.onCallerLeft(flow, m_context.clock.now());
        erase(flow);
    }
}

Flow *Dispatcher::findByAttempt(uint64_t attempt)
{
    const auto exchange = m_exchangeByAttempt.find(attempt);
    if (exchange == m_exchangeByAttempt.end()) {
        return nullptr;
    }
    const auto flow = m_flows.find(exchange->second);
    return flow == m_flows.end() ? nullptr : flow->second.get();
}

void Dispatcher::onAttemptHead(uint64_t attempt, const AttemptHead &head)
{
    Flow *flow = findByAttempt(attempt);
    if (flow == nullptr) {
        return;
    }
    if (head.hasNotRun) {
        flow->verdict = verdictOf(head, flow->isEngine);
        return;
    }
    const bool isSuccess = head.head.status >= firstSuccess && head.head.status < firstRedirect;
    if (!head.isSigned) {
        // Nothing that a sound replica sends; it is dropped and the attempt counts as lost.
        m_context.attempts.cancel(attempt);
        onAttemptEnd(attempt, UpstreamEnd::Malformed);
        return;
    }
    const bool mayRepeat = flow->isRepeatable() && static_cast<int>(flow->ranOn.size()) + 1 < flow->maxReplicas;
    if (!isSuccess && head.head.status >= firstServerError && mayRepeat) {
        flow->verdict = AttemptVerdict::Failed;
        return;
    }
    if (flow->isAnswering()) {
        // A resumed stream keeps the start of its first answer; another failure can't be told in it.
        flow->verdict = isSuccess ? AttemptVerdict::None : AttemptVerdict::Failed;
        return;
    }
    flow->answeredAt = m_context.clock.now();
    m_context.backends.onRead(flow->replica, flow->unread);
    flow->unread = 0;
    m_context.callers.startAnswer(flow->request.exchange, head.head);
}

void Dispatcher::onAttemptBody(uint64_t attempt, std::string_view data)
{
    Flow *flow = findByAttempt(attempt);
    if (flow == nullptr || !flow->isAnswering() || flow->verdict != AttemptVerdict::None) {
        return;
    }
    if (!flow->isResumable) {
        m_context.callers.append(flow->request.exchange, data);
        return;
    }
    const std::string events = flow->events.append(data);
    if (!events.empty()) {
        m_context.callers.append(flow->request.exchange, events);
    }
}

void Dispatcher::onAttemptEnd(uint64_t attempt, UpstreamEnd how)
{
    Flow *flow = findByAttempt(attempt);
    if (flow == nullptr) {
        return;
    }
    const Millis now = m_context.clock.now();
    releaseReplica(*flow);
    if (how == UpstreamEnd::NotSent) {
        m_context.backends.onFailure(flow->replica, true, now);
        flow->avoided.insert(flow->replica);
        tryElsewhere(*flow, false, RefusalCode::NoReplica, "the replica could not be reached");
    } else if (flow->isAnswering() && flow->verdict == AttemptVerdict::None) {
        if (how == UpstreamEnd::Complete) {
            complete(*flow);
        } else {
            onBrokenOff(*flow);
        }
    } else if (flow->verdict == AttemptVerdict::None || flow->verdict == AttemptVerdict::Failed) {
        onLost(*flow);
    } else {
        onRejected(*flow);
    }
    sendWaiting();
}

void Dispatcher::onRejected(Flow &flow)
{
    const Millis now = m_context.clock.now();
    if (flow.verdict == AttemptVerdict::OtherServer) {
        m_context.backends.onFailure(flow.replica, true, now);
        flow.avoided.insert(flow.replica);
        tryElsewhere(flow, true, RefusalCode::NoReplica, "another server has the replica's address");
        return;
    }
    if (flow.verdict == AttemptVerdict::AdapterMissing) {
        m_context.residency.onNotResident(flow.replica, flow.request.weights);
        m_missing.insert({flow.replica, flow.request.weights});
        tryElsewhere(flow, true, RefusalCode::LoadFailed, "the replica does not hold the adapter");
        return;
    }
    if (flow.isEngine) {
        // Busy with the adapter, or full: the others come first, and it comes back after a moment.
        m_context.residency.setReadyAt(flow.replica, flow.request.weights, now + repeatPause);
    } else {
        flow.avoided.insert(flow.replica);
    }
    flow.retryAt = now + (flow.sendCount > 1 ? repeatPause : Millis(0));
    tryElsewhere(flow, true, RefusalCode::Overloaded, "the replica refused the request without running it");
}

bool Dispatcher::noteRun(Flow &flow)
{
    m_context.backends.onFailure(flow.replica, false, m_context.clock.now());
    flow.ranOn.insert(flow.replica);
    return static_cast<int>(flow.ranOn.size()) < flow.maxReplicas;
}

void Dispatcher::onBrokenOff(Flow &flow)
{
    if (!noteRun(flow) || !flow.isResumable) {
        breakOff(flow, "the replica broke its answer off");
        return;
    }
    flow.events.discardIncomplete();
    flow.giveUpAt = std::min(m_context.clock.now() + resumeWait, flow.endAt);
    tryElsewhere(flow, true, RefusalCode::OutcomeUnknown, "the stream goes on behind event " + flow.events.lastId());
}

void Dispatcher::onLost(Flow &flow)
{
    if (noteRun(flow) && flow.isRepeatable()) {
        tryElsewhere(flow, true, RefusalCode::OutcomeUnknown,
                     flow.verdict == AttemptVerdict::Failed ? "the replica failed the request"
                                                            : "the replica's answer was lost");
        return;
    }
    refuse(flow, {RefusalCode::OutcomeUnknown, RunState::Unknown, Millis(0), "the replica's answer was lost"});
}

void Dispatcher::tryElsewhere(Flow &flow, bool countsAsRepeat, RefusalCode code, const std::string &why)
{
    const Millis now = m_context.clock.now();
    const bool hasBudget = !countsAsRepeat || budgetOf(flow.pool).tryConsumeRetry(now);
    if (!hasBudget || flow.sendCount >= mostSends || now >= flow.endAt) {
        refuse(flow, {code, RunState::NotRun, overloadRetry, why + (hasBudget ? "" : "; no retry budget left")});
        return;
    }
    m_context.log.onRetried(flow, why, now);
    settle(flow);
}

void Dispatcher::complete(Flow &flow)
{
    m_context.backends.onSuccess(flow.replica);
    m_context.log.onServed(flow, m_context.clock.now());
    const std::string rest = flow.events.takeIncomplete();
    if (!rest.empty()) {
        m_context.callers.append(flow.request.exchange, rest);
    }
    m_context.callers.finish(flow.request.exchange);
    erase(flow);
}

void Dispatcher::refuse(Flow &flow, Refusal refusal)
{
    if (flow.isAnswering()) {
        breakOff(flow, refusal.detail); // of a stream that could not be resumed
        return;
    }
    const Millis now = m_context.clock.now();
    if (refusal.runState == RunState::NotRun && flow.mayHaveRun()) {
        refusal = {RefusalCode::OutcomeUnknown, RunState::Unknown, Millis(0),
                   refusal.detail + "; an earlier attempt may have run"};
    }
    if (flow.team && refusal.runState == RunState::NotRun) {
        m_context.admission.giveBack(*flow.team, flow.cost, now);
    }
    reject(flow.request, &flow, refusal);
    erase(flow);
}

void Dispatcher::breakOff(Flow &flow, const std::string &why)
{
    m_context.log.onFailed(flow, why, m_context.clock.now());
    m_context.callers.abort(flow.request.exchange);
    erase(flow);
}

void Dispatcher::releaseReplica(Flow &flow)
{
    m_exchangeByAttempt.erase(flow.attempt);
    m_context.backends.onRead(flow.replica, flow.unread);
    m_context.backends.onEnded(flow.replica, flow.tokens);
    flow.unread = 0;
    flow.attempt = 0;
}

void Dispatcher::erase(Flow &flow)
{
    if (flow.attempt != 0) {
        m_context.attempts.cancel(flow.attempt);
        releaseReplica(flow);
    }
    m_waiting.erase(waitingKeyOf(flow));
    m_flows.erase(flow.request.exchange);
}

std::map<ReplicaId, std::map<std::string, AdapterUse>> Dispatcher::adapterUses() const
{
    std::map<ReplicaId, std::map<std::string, AdapterUse>> uses;
    for (const auto &[exchange, flow] : m_flows) {
        if (flow->attempt != 0 && flow->isEngine) {
            AdapterUse &use = uses[flow->replica][flow->request.weights];
            use.weights = flow->request.weights;
            ++use.running;
        }
    }
    return uses;
}

std::vector<AdapterRequest> Dispatcher::takeAsks()
{
    std::vector<AdapterRequest> asks;
    const Millis now = m_context.clock.now();
    for (const auto &[where, waiting] : m_wantedLoads) {
        const bool wasMissing = m_missing.count(where) > 0;
        asks.push_back({where.first, where.second, m_context.versions.minimumVersion(where.second, now),
                        static_cast<uint16_t>(std::min<int64_t>(waiting, UINT16_MAX)), wasMissing});
    }
    m_wantedLoads.clear();
    m_missing.clear();
    return asks;
}

}
