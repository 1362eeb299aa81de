#include "node/gateway.h"

#include "backend/backendcall.h"
#include "backend/backendlink.h"
#include "cluster/message.h"
#include "config/activeconfig.h"
#include "core/clock.h"
#include "core/eventlog.h"
#include "core/hash.h"
#include "core/random.h"
#include "node/callerlink.h"
#include "node/claimkeeper.h"
#include "node/metricsink.h"
#include "node/nodesettings.h"
#include "node/quotakeeper.h"
#include "node/replicaview.h"
#include "node/requestoutcome.h"
#include "node/worksink.h"

#include <algorithm>

namespace vanillaspar
{

namespace
{

constexpr int64_t estimatedBytesPerToken = 4;
constexpr uint32_t maxAttempts = 8;
constexpr Millis retryDelay(50);
constexpr int64_t maxRetryJitter = 100; // milliseconds
constexpr double retryBudgetPerRequest = 0.1; // retries that each admitted request adds
constexpr double maxRetryBudget = 20; // retries
constexpr Millis refusalRetryAfter(1000);
constexpr size_t maxIdempotencyKeySize = 256; // bytes

Tokens estimatePromptTokens(const std::string &text)
{
    return Tokens(static_cast<int64_t>(text.size()) / estimatedBytesPerToken + 1);
}

bool isAdapterTarget(const std::string &target)
{
    return target.find('@') != std::string::npos;
}

}

Gateway::Gateway(GatewayContext context) : m_context(context), m_retryBudget(maxRetryBudget)
{
}

void Gateway::setIncarnation(const Incarnation &incarnation)
{
    m_incarnation = incarnation;
}

void Gateway::setConfirmed(bool isConfirmed)
{
    m_isConfirmed = isConfirmed;
}

void Gateway::stopAccepting()
{
    m_isAccepting = false;
}

void Gateway::onRequest(const CallerRequest &request)
{
    const Millis now = m_context.clock.now();
    ActiveRequest &active = m_activeRequests[request.caller];
    active.request = request;
    active.id = RequestId(m_incarnation.text() + "-" + std::to_string(m_nextRequest++));
    active.arrivedAt = now;
    const Millis timeout = request.timeout.value > 0 ? request.timeout : m_context.settings.defaultDeadline;
    active.deadlineAt = now + std::min(timeout, m_context.settings.longestDeadline);
    m_callerById[active.id] = request.caller;
    if (const std::optional<Refusal> refusal = validate(active)) {
        refuse(active, *refusal);
        return;
    }
    admit(active);
}

std::optional<Refusal> Gateway::validate(ActiveRequest &active) const
{
    if (!m_isAccepting) {
        return Refusal {RefusalCode::ShuttingDown, RunState::NotRun, Millis(1),
                        "this host is shutting down; use another host"};
    }
    if (m_context.config == nullptr) {
        return Refusal {RefusalCode::PlatformUnavailable, RunState::NotRun, refusalRetryAfter,
                        "this host has no configuration yet"};
    }
    if (active.request.idempotencyKey.size() > maxIdempotencyKeySize) {
        return Refusal {RefusalCode::BadRequest, RunState::NotRun, Millis(0),
                        "the idempotency key is longer than 256 bytes"};
    }
    const ApiKey *key
        = active.request.keyHash.empty() ? nullptr : m_context.config->findKeyByHash(active.request.keyHash);
    if (!active.request.keyHash.empty() && key == nullptr) {
        return Refusal {RefusalCode::Unauthenticated, RunState::NotRun, Millis(0), "the key is unknown or withdrawn"};
    }
    if (key != nullptr) {
        active.key = key->id;
        active.team = key->team;
    }
    const bool isAdapter = !active.request.isService && isAdapterTarget(active.request.target);
    const std::optional<Refusal> refusal = isAdapter ? resolveAdapter(active, key) : resolveRoute(active, key);
    if (refusal) {
        return refusal;
    }
    if (key != nullptr && !m_isConfirmed && !m_context.settings.servesUnconfirmed) {
        return Refusal {RefusalCode::Unconfirmed, RunState::NotRun, refusalRetryAfter,
                        "this host can't confirm that the key is still valid; use another host"};
    }
    active.cost = estimatePromptTokens(active.request.payload)
        + (active.adapter.isEmpty() ? Tokens(0) : active.request.maxTokens);
    const Team *team = m_context.config->findTeam(active.team);
    if (team != nullptr && active.cost > team->burst) {
        return Refusal {RefusalCode::ExceedsBurst, RunState::NotRun, Millis(0),
                        "the request may need " + std::to_string(active.cost.value)
                            + " tokens, more than the team's burst"};
    }
    return std::nullopt;
}

std::optional<Refusal> Gateway::resolveAdapter(ActiveRequest &active, const ApiKey *key) const
{
    const Adapter *adapter = m_context.config->findAdapter(AdapterRef(active.request.target));
    if (key == nullptr) {
        return Refusal {RefusalCode::Unauthenticated, RunState::NotRun, Millis(0),
                        "requests for an adapter need a key"};
    }
    // The same refusal for an adapter of another team, so that callers can't find out which ones exist.
    if (adapter == nullptr || adapter->team != key->team) {
        return Refusal {RefusalCode::UnknownModel, RunState::NotRun, Millis(0),
                        "the team has no adapter with this name and version"};
    }
    active.adapter = adapter->ref;
    active.pool = adapter->pool;
    return std::nullopt;
}

std::optional<Refusal> Gateway::resolveRoute(ActiveRequest &active, const ApiKey *key) const
{
    const Route *route = m_context.config->findRoute(RouteName(active.request.target));
    if (route == nullptr || active.request.isService != route->adapter.isEmpty()) {
        return Refusal {RefusalCode::UnknownRoute, RunState::NotRun, Millis(0), "the route does not exist"};
    }
    if (!route->isOpen) {
        if (key == nullptr) {
            return Refusal {RefusalCode::Unauthenticated, RunState::NotRun, Millis(0),
                            "requests for this route need a key"};
        }
        if (std::find(route->teams.begin(), route->teams.end(), key->team) == route->teams.end()) {
            return Refusal {RefusalCode::Forbidden, RunState::NotRun, Millis(0),
                            "the key's team may not use this route"};
        }
    }
    active.route = route->name;
    active.isIdempotent = route->isIdempotent;
    active.isInteractive = route->priority == "interactive";
    active.adapter = route->adapter;
    active.pool = route->pool;
    if (!route->adapter.isEmpty()) {
        const Adapter *adapter = m_context.config->findAdapter(route->adapter);
        active.pool = adapter->pool;
        active.team = active.team.isEmpty() || route->isOpen ? adapter->team : active.team;
    } else if (active.team.isEmpty() && !route->teams.empty()) {
        active.team = route->teams.front();
    }
    return std::nullopt;
}

bool Gateway::hasWithdrawnKey(const ActiveRequest &active) const
{
    return !active.key.isEmpty() && !m_context.config->hasKey(active.key);
}

void Gateway::admit(ActiveRequest &active)
{
    if (active.adapter.isEmpty() && active.team.isEmpty()) {
        onAdmitted(active.request.caller);
        return;
    }
    const uint64_t caller = active.request.caller;
    const RequestId id = active.id;
    active.quotaItem = m_context.nextCall++;
    const Millis waitUntil = std::min(active.arrivedAt + m_context.settings.admissionWait, active.deadlineAt);
    m_context.quota.request(
        active.quotaItem, active.team, active.cost, waitUntil, [this, caller, id](bool isGranted, Millis retryAfter) {
            const auto found = m_activeRequests.find(caller);
            if (found == m_activeRequests.end() || found->second.id != id) {
                return;
            }
            if (!isGranted) {
                refuse(found->second,
                       {RefusalCode::OverRate, RunState::NotRun, retryAfter, "the team is over its token rate"});
                return;
            }
            found->second.isCharged = true;
            found->second.admittedAt = m_context.clock.now();
            onAdmitted(caller);
        });
}

void Gateway::onAdmitted(uint64_t caller)
{
    ActiveRequest &active = m_activeRequests.at(caller);
    if (hasWithdrawnKey(active)) {
        refuse(active, {RefusalCode::Unauthenticated, RunState::NotRun, Millis(0), "the key was withdrawn"});
        return;
    }
    if (!active.adapter.isEmpty()) {
        m_popularity.recordUse(active.adapter, m_context.clock.now());
    }
    m_retryBudget = std::min(maxRetryBudget, m_retryBudget + retryBudgetPerRequest);
    if (!active.isIdempotent && !active.request.idempotencyKey.empty()) {
        claim(active);
    } else {
        active.stage = Stage::Dispatching;
        dispatch(active);
    }
}

void Gateway::claim(ActiveRequest &active)
{
    active.stage = Stage::Claiming;
    const uint64_t caller = active.request.caller;
    const std::string digest = sha256Hex(active.route.text() + "\n" + active.request.payload);
    const TeamId team = active.team;
    const std::string key = active.request.idempotencyKey;
    m_context.claims.claim(
        team, key, active.id, digest, [this, caller, id = active.id, team, key](const ClaimKeeper::Outcome &outcome) {
            const auto found = m_activeRequests.find(caller);
            if (found == m_activeRequests.end() || found->second.id != id) {
                if (outcome.result == ClaimKeeper::Result::Granted) {
                    m_context.claims.release(team, key, id);
                }
                return;
            }
            ActiveRequest &active = found->second;
            switch (outcome.result) {
            case ClaimKeeper::Result::Granted:
                active.hasClaim = true;
                active.stage = Stage::Dispatching;
                dispatch(active);
                break;
            case ClaimKeeper::Result::Answered:
                m_context.callers.sendAnswer(caller, outcome.status, outcome.body);
                close(active, std::nullopt, Tokens(0));
                break;
            case ClaimKeeper::Result::Running:
                refuse(active,
                       {RefusalCode::InProgress, RunState::Unknown, refusalRetryAfter,
                        "another attempt with this idempotency key is running"});
                break;
            case ClaimKeeper::Result::Unknown:
                refuse(active,
                       {RefusalCode::OutcomeUnknown, RunState::Unknown, Millis(0),
                        "the outcome of an earlier request with this idempotency key is unknown"});
                break;
            case ClaimKeeper::Result::Mismatch:
                refuse(active,
                       {RefusalCode::IdempotencyMismatch, RunState::NotRun, Millis(0),
                        "the idempotency key was used for a different request"});
                break;
            case ClaimKeeper::Result::Unavailable:
                refuse(active,
                       {RefusalCode::PlatformUnavailable, RunState::NotRun, refusalRetryAfter,
                        "the idempotency key can't be recorded because the platform doesn't answer"});
                break;
            }
        });
}

double Gateway::popularityOf(const AdapterRef &adapter) const
{
    const Millis now = m_context.clock.now();
    const double total = m_popularity.totalUses(now);
    return total < 1 ? 0 : m_popularity.decayedUses(adapter, now) / total;
}

void Gateway::dispatch(ActiveRequest &active)
{
    const Millis now = m_context.clock.now();
    if (hasWithdrawnKey(active)) {
        refuse(active, {RefusalCode::Unauthenticated, RunState::NotRun, Millis(0), "the key was withdrawn"});
        return;
    }
    if (active.deadlineAt <= now) {
        expire(active);
        return;
    }
    if (active.attempt >= maxAttempts) {
        refuse(active, {active.lastFailure, RunState::NotRun, refusalRetryAfter, "no replica accepted the request"});
        return;
    }
    std::vector<Candidate> candidates = m_context.replicas.candidates(active.pool);
    std::vector<Candidate> untried;
    std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(untried), [&](const Candidate &candidate) {
        return active.triedReplicas.count(candidate.replica) == 0;
    });
    if (untried.empty()) {
        // No candidate is left: all of them are tried again after a delay, until the deadline.
        active.triedReplicas.clear();
        active.nextAttemptAt = now + retryDelay * 4;
        return;
    }
    const size_t index
        = m_context.placement.choose(active.adapter, popularityOf(active.adapter), untried, m_context.random);
    const Replica *replica = m_context.config->findReplica(untried[index].replica);
    if (replica == nullptr) {
        active.nextAttemptAt = now + retryDelay;
        return;
    }
    ++active.attempt;
    active.replica = replica->id;
    active.triedReplicas.insert(replica->id);
    active.stage = Stage::Running;
    m_context.replicas.noteDispatch(replica->id, 1);
    if (active.adapter.isEmpty()) {
        sendToService(active, *replica);
    } else {
        sendToOwner(active, *replica);
    }
}

void Gateway::sendToOwner(ActiveRequest &active, const Replica &replica)
{
    active.owner = m_context.replicas.ownerOf(replica.id);
    const Millis timeLeft = active.deadlineAt - m_context.clock.now();
    const WorkRequest work {active.id,
                            active.attempt,
                            replica.id,
                            active.team,
                            active.key,
                            active.adapter,
                            active.request.payload,
                            active.request.maxTokens,
                            active.cost,
                            active.forwardedPieces,
                            active.isInteractive,
                            timeLeft};
    m_context.sink.deliver(active.owner.address, work);
}

void Gateway::sendToService(ActiveRequest &active, const Replica &replica)
{
    active.call = m_context.nextCall++;
    m_callerByCall[active.call] = active.request.caller;
    m_context.backends.submit(
        {active.call, replica.id, replica.address, ServiceCall {active.id, active.route, active.request.payload}});
}

Gateway::ActiveRequest *Gateway::findRunning(const RequestId &id, uint32_t attempt)
{
    const auto caller = m_callerById.find(id);
    if (caller == m_callerById.end()) {
        return nullptr;
    }
    ActiveRequest &active = m_activeRequests.at(caller->second);
    const bool isCurrent = active.stage == Stage::Running && active.attempt == attempt;
    return isCurrent ? &active : nullptr;
}

void Gateway::onPiece(const WorkPiece &piece)
{
    ActiveRequest *active = findRunning(piece.request, piece.attempt);
    if (active == nullptr || piece.adapter != active->adapter) {
        m_context.log.record(EventCode::AnswerDropped, piece.request.text(),
                             "piece of an ended attempt or of another adapter");
        return;
    }
    if (piece.index >= active->forwardedPieces) {
        active->outOfOrderPieces.emplace(piece.index, piece.text);
    }
    forwardPieces(*active);
}

void Gateway::forwardPieces(ActiveRequest &active)
{
    for (auto next = active.outOfOrderPieces.begin();
         next != active.outOfOrderPieces.end() && next->first <= active.forwardedPieces;
         next = active.outOfOrderPieces.erase(next)) {
        if (next->first < active.forwardedPieces) {
            continue;
        }
        if (active.firstPieceAt.value < 0) {
            active.firstPieceAt = m_context.clock.now();
        }
        ++active.forwardedPieces;
        m_context.callers.sendPiece(active.request.caller, next->second);
    }
    if (active.completion && active.forwardedPieces == active.completion->pieces) {
        complete(active, active.completion->used);
    }
}

void Gateway::onEnd(const WorkEnd &end)
{
    ActiveRequest *active = findRunning(end.request, end.attempt);
    if (active == nullptr) {
        return;
    }
    active->loadWait = std::max(active->loadWait, end.loadWait);
    switch (end.result) {
    case WorkEnd::Result::Complete:
        active->completion = end;
        forwardPieces(*active);
        break;
    case WorkEnd::Result::NotExecuted:
        retry(*active, end.code, false);
        break;
    case WorkEnd::Result::Broken:
        retry(*active, end.code, true);
        break;
    case WorkEnd::Result::Refused:
        m_context.replicas.noteDispatch(active->replica, -1);
        refuse(*active, {end.code, RunState::NotRun, Millis(0), "the replica's owner refused the request"});
        break;
    }
}

bool Gateway::tryConsumeRetry()
{
    if (m_retryBudget < 1) {
        return false;
    }
    m_retryBudget -= 1;
    return true;
}

void Gateway::retry(ActiveRequest &active, RefusalCode code, bool isOutcomeUnknown)
{
    m_context.replicas.noteDispatch(active.replica, -1);
    active.lastFailure = code;
    active.outOfOrderPieces.clear();
    active.completion.reset();
    active.stage = Stage::Dispatching;
    if (isOutcomeUnknown) {
        active.mayHaveExecuted = true;
        m_context.replicas.noteFailure(active.replica);
        if (!active.isIdempotent) {
            if (active.hasClaim) {
                m_context.claims.recordUnknown(active.team, active.request.idempotencyKey, active.id);
            }
            refuse(active,
                   {RefusalCode::OutcomeUnknown, RunState::Unknown, Millis(0),
                    "the connection was lost and the request may have been executed"});
            return;
        }
        if (!tryConsumeRetry()) {
            refuse(active,
                   {RefusalCode::BackendFailed, RunState::Unknown, refusalRetryAfter,
                    "the replica failed and the retry budget is used up"});
            return;
        }
    }
    m_context.log.record(EventCode::RequestRetried, active.id.text(), std::string(refusalName(code)));
    const Millis jitter(static_cast<int64_t>(m_context.random.below(maxRetryJitter)));
    active.nextAttemptAt
        = m_context.clock.now() + (isOutcomeUnknown ? jitter : Millis(active.attempt > 2 ? retryDelay.value : 0));
    if (active.nextAttemptAt <= m_context.clock.now()) {
        dispatch(active);
    }
}

bool Gateway::onBackendEvent(const BackendEvent &event)
{
    const auto found = m_callerByCall.find(event.call);
    if (found == m_callerByCall.end()) {
        return false;
    }
    ActiveRequest &active = m_activeRequests.at(found->second);
    m_callerByCall.erase(found);
    active.call = 0;
    if (const auto *answer = std::get_if<ServiceAnswer>(&event.what)) {
        completeService(active, answer->status, answer->body);
    } else if (std::holds_alternative<NotSent>(event.what) || std::holds_alternative<Rejected>(event.what)) {
        retry(active, RefusalCode::NoReplica, false);
    } else {
        retry(active, RefusalCode::BackendFailed, true);
    }
    return true;
}

void Gateway::completeService(ActiveRequest &active, int status, const std::string &body)
{
    m_context.replicas.noteDispatch(active.replica, -1);
    if (active.hasClaim) {
        m_context.claims.recordAnswer(active.team, active.request.idempotencyKey, active.id, status, body);
        active.hasClaim = false;
    }
    m_context.callers.sendAnswer(active.request.caller, status, body);
    close(active, std::nullopt, active.cost);
}

void Gateway::complete(ActiveRequest &active, Tokens used)
{
    m_context.replicas.noteDispatch(active.replica, -1);
    m_context.callers.finish(active.request.caller, used);
    close(active, std::nullopt, used);
}

void Gateway::refuse(ActiveRequest &active, const Refusal &original)
{
    Refusal refusal = original;
    const bool mayHaveExecuted = active.mayHaveExecuted || active.forwardedPieces > 0;
    if (mayHaveExecuted && refusal.runState == RunState::NotRun) {
        refusal.runState = RunState::Unknown;
    }
    if (active.hasClaim && refusal.runState == RunState::NotRun) {
        m_context.claims.release(active.team, active.request.idempotencyKey, active.id);
    }
    m_context.log.record(EventCode::RequestRefused, active.id.text(), std::string(refusalName(refusal.code)));
    m_context.callers.refuse(active.request.caller, refusal);
    const Tokens used = refusal.runState == RunState::NotRun ? Tokens(0) : active.cost;
    close(active, refusal.code, used);
}

void Gateway::close(ActiveRequest &active, const std::optional<RefusalCode> &refusal, Tokens used)
{
    if (active.isCharged) {
        m_context.quota.settle(active.quotaItem, active.cost - std::min(used, active.cost));
    } else if (active.quotaItem != 0) {
        m_context.quota.cancel(active.quotaItem);
    }
    const Millis now = m_context.clock.now();
    const Millis firstPieceOrEnd = active.firstPieceAt.value < 0 ? now : active.firstPieceAt;
    const std::string priority
        = active.adapter.isEmpty() ? "service" : (active.isInteractive ? "interactive" : "batch");
    m_context.metrics.record({active.team, priority, refusal, active.admittedAt, firstPieceOrEnd - active.arrivedAt,
                              now - active.arrivedAt, active.loadWait, used});
    m_callerByCall.erase(active.call);
    m_callerById.erase(active.id);
    m_activeRequests.erase(active.request.caller);
}

void Gateway::onCallerGone(uint64_t caller)
{
    const auto found = m_activeRequests.find(caller);
    if (found == m_activeRequests.end()) {
        return;
    }
    ActiveRequest &active = found->second;
    if (active.stage == Stage::Running && active.adapter.isEmpty() && !active.isIdempotent) {
        return; // the call can't be undone, and its outcome must be recorded under the idempotency key
    }
    if (active.stage == Stage::Running) {
        m_context.replicas.noteDispatch(active.replica, -1);
        if (!active.adapter.isEmpty()) {
            m_context.sink.deliver(active.owner.address, WorkCancel {active.id, active.attempt});
        } else {
            m_context.backends.cancel(active.call);
        }
    }
    if (active.hasClaim) {
        m_context.claims.release(active.team, active.request.idempotencyKey, active.id);
    }
    const Tokens used = active.stage == Stage::Running ? active.cost : Tokens(0);
    close(active, RefusalCode::BadRequest, used);
}

void Gateway::expire(ActiveRequest &active)
{
    const bool mayHaveExecuted = active.stage == Stage::Running || active.mayHaveExecuted || active.forwardedPieces > 0;
    if (active.stage == Stage::Running) {
        m_context.replicas.noteDispatch(active.replica, -1);
        if (!active.adapter.isEmpty()) {
            m_context.sink.deliver(active.owner.address, WorkCancel {active.id, active.attempt});
        }
        if (active.hasClaim) {
            m_context.claims.recordUnknown(active.team, active.request.idempotencyKey, active.id);
        }
    }
    refuse(active,
           {mayHaveExecuted ? RefusalCode::OutcomeUnknown : RefusalCode::DeadlineTooShort,
            mayHaveExecuted ? RunState::Unknown : RunState::NotRun, Millis(0), "the deadline passed"});
}

void Gateway::tick()
{
    const Millis now = m_context.clock.now();
    std::vector<uint64_t> callers;
    for (const auto &[caller, active] : m_activeRequests) {
        callers.push_back(caller);
    }
    for (uint64_t caller : callers) {
        const auto found = m_activeRequests.find(caller);
        if (found == m_activeRequests.end()) {
            continue;
        }
        ActiveRequest &active = found->second;
        const bool isAdapter = !active.adapter.isEmpty();
        if (active.deadlineAt <= now && active.stage != Stage::Claiming) {
            expire(active);
        } else if (active.stage == Stage::Dispatching && active.nextAttemptAt <= now) {
            dispatch(active);
        } else if (active.stage == Stage::Running && isAdapter && m_context.replicas.isLost(active.owner)) {
            m_context.sink.deliver(active.owner.address, WorkCancel {active.id, active.attempt});
            retry(active, RefusalCode::BackendFailed, true);
        }
    }
}

std::vector<std::string> Gateway::addressesFor(const std::string &target)
{
    std::vector<std::string> addresses = m_context.replicas.callerAddresses();
    for (size_t i = addresses.size(); i > 1; --i) {
        std::swap(addresses[i - 1], addresses[m_context.random.below(i)]);
    }
    const Adapter *adapter = m_context.config == nullptr ? nullptr : m_context.config->findAdapter(AdapterRef(target));
    const std::vector<Candidate> candidates
        = adapter == nullptr ? std::vector<Candidate>() : m_context.replicas.candidates(adapter->pool);
    if (!candidates.empty()) {
        const size_t index
            = m_context.placement.choose(adapter->ref, popularityOf(adapter->ref), candidates, m_context.random);
        const std::string best = m_context.replicas.callerAddressOf(candidates[index].replica);
        const auto found = std::find(addresses.begin(), addresses.end(), best);
        if (found != addresses.end()) {
            std::iter_swap(addresses.begin(), found);
        }
    }
    return addresses;
}

}
