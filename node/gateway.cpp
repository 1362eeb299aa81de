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

constexpr int64_t bytesPerToken = 4;
constexpr uint32_t maxAttempts = 8;
constexpr Millis retryDelay(50);
constexpr int64_t retryJitter = 100; // milliseconds
constexpr double retryShare = 0.1; // retries for each request
constexpr double retryBurst = 20;
constexpr Millis refusalRetryAfter(1000);
constexpr size_t longestIdempotencyKey = 256; // bytes

Tokens promptTokens(const std::string &text)
{
    return Tokens(static_cast<int64_t>(text.size()) / bytesPerToken + 1);
}

bool isModelTarget(const std::string &target)
{
    return target.find('@') != std::string::npos;
}

}

Gateway::Gateway(GatewayContext context) : m_context(context), m_retryBudget(retryBurst)
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
    Flow &flow = m_flows[request.caller];
    flow.request = request;
    flow.id = RequestId(m_incarnation.text() + "-" + std::to_string(m_nextRequest++));
    flow.arrivedAt = now;
    const Millis wanted = request.deadline.value > 0 ? request.deadline : m_context.settings.defaultDeadline;
    flow.deadlineAt = now + std::min(wanted, m_context.settings.longestDeadline);
    m_callerById[flow.id] = request.caller;
    if (const std::optional<Refusal> refusal = check(flow)) {
        refuse(flow, *refusal);
        return;
    }
    admit(flow);
}

std::optional<Refusal> Gateway::check(Flow &flow) const
{
    if (!m_isAccepting) {
        return Refusal {RefusalCode::ShuttingDown, RunState::NotRun, Millis(1),
                        "this host is shutting down; ask for another address"};
    }
    if (m_context.config == nullptr) {
        return Refusal {RefusalCode::PlatformUnavailable, RunState::NotRun, refusalRetryAfter,
                        "no configuration is in force on this host yet"};
    }
    if (flow.request.idempotencyKey.size() > longestIdempotencyKey) {
        return Refusal {RefusalCode::BadRequest, RunState::NotRun, Millis(0),
                        "the idempotency key is longer than 256 bytes"};
    }
    const ApiKey *key = flow.request.keyHash.empty() ? nullptr : m_context.config->findKeyByHash(flow.request.keyHash);
    if (!flow.request.keyHash.empty() && key == nullptr) {
        return Refusal {RefusalCode::Unauthenticated, RunState::NotRun, Millis(0), "the key is unknown or withdrawn"};
    }
    if (key != nullptr) {
        flow.key = key->id;
        flow.team = key->team;
    }
    const bool isModel = !flow.request.isService && isModelTarget(flow.request.target);
    const std::optional<Refusal> refusal = isModel ? checkAdapter(flow, key) : checkRoute(flow, key);
    if (refusal) {
        return refusal;
    }
    if (key != nullptr && !m_isConfirmed && !m_context.settings.servesUnconfirmed) {
        return Refusal {RefusalCode::Unconfirmed, RunState::NotRun, refusalRetryAfter,
                        "this host can't confirm that the key is still issued; use another"};
    }
    flow.cost = promptTokens(flow.request.payload) + (flow.adapter.isEmpty() ? Tokens(0) : flow.request.maxTokens);
    const Team *team = m_context.config->findTeam(flow.team);
    if (team != nullptr && flow.cost > team->burst) {
        return Refusal {RefusalCode::ExceedsBurst, RunState::NotRun, Millis(0),
                        "the request may take " + std::to_string(flow.cost.value) + " tokens, above the team's burst"};
    }
    return std::nullopt;
}

std::optional<Refusal> Gateway::checkAdapter(Flow &flow, const ApiKey *key) const
{
    const Adapter *adapter = m_context.config->findAdapter(AdapterRef(flow.request.target));
    if (key == nullptr) {
        return Refusal {RefusalCode::Unauthenticated, RunState::NotRun, Millis(0), "an adapter needs a key"};
    }
    // Another team's adapter is answered like one that doesn't exist.
    if (adapter == nullptr || adapter->team != key->team) {
        return Refusal {RefusalCode::UnknownModel, RunState::NotRun, Millis(0),
                        "the team has no adapter of that name and version"};
    }
    flow.adapter = adapter->ref;
    flow.pool = adapter->pool;
    return std::nullopt;
}

std::optional<Refusal> Gateway::checkRoute(Flow &flow, const ApiKey *key) const
{
    const Route *route = m_context.config->findRoute(RouteName(flow.request.target));
    if (route == nullptr || flow.request.isService != route->adapter.isEmpty()) {
        return Refusal {RefusalCode::UnknownRoute, RunState::NotRun, Millis(0), "there is no such route"};
    }
    if (!route->isOpen) {
        if (key == nullptr) {
            return Refusal {RefusalCode::Unauthenticated, RunState::NotRun, Millis(0), "the route needs a key"};
        }
        if (std::find(route->teams.begin(), route->teams.end(), key->team) == route->teams.end()) {
            return Refusal {RefusalCode::Forbidden, RunState::NotRun, Millis(0),
                            "the route is not open to the key's team"};
        }
    }
    flow.route = route->name;
    flow.isIdempotent = route->isIdempotent;
    flow.isInteractive = route->priority == "interactive";
    flow.adapter = route->adapter;
    flow.pool = route->pool;
    if (!route->adapter.isEmpty()) {
        const Adapter *adapter = m_context.config->findAdapter(route->adapter);
        flow.pool = adapter->pool;
        flow.team = flow.team.isEmpty() || route->isOpen ? adapter->team : flow.team;
    } else if (flow.team.isEmpty() && !route->teams.empty()) {
        flow.team = route->teams.front();
    }
    return std::nullopt;
}

bool Gateway::isWithdrawn(const Flow &flow) const
{
    return !flow.key.isEmpty() && !m_context.config->hasKey(flow.key);
}

void Gateway::admit(Flow &flow)
{
    if (flow.adapter.isEmpty() && flow.team.isEmpty()) {
        afterAdmission(flow.request.caller);
        return;
    }
    const uint64_t caller = flow.request.caller;
    const RequestId id = flow.id;
    flow.quotaItem = m_context.nextCall++;
    const Millis waitUntil = std::min(flow.arrivedAt + m_context.settings.admissionWait, flow.deadlineAt);
    m_context.quota.request(
        flow.quotaItem, flow.team, flow.cost, waitUntil, [this, caller, id](bool isGranted, Millis retryAfter) {
            const auto found = m_flows.find(caller);
            if (found == m_flows.end() || found->second.id != id) {
                return;
            }
            if (!isGranted) {
                refuse(found->second,
                       {RefusalCode::OverRate, RunState::NotRun, retryAfter, "the team is over its rate"});
                return;
            }
            found->second.isCharged = true;
            found->second.admittedAt = m_context.clock.now();
            afterAdmission(caller);
        });
}

void Gateway::afterAdmission(uint64_t caller)
{
    Flow &flow = m_flows.at(caller);
    if (isWithdrawn(flow)) {
        refuse(flow, {RefusalCode::Unauthenticated, RunState::NotRun, Millis(0), "the key was withdrawn"});
        return;
    }
    if (!flow.adapter.isEmpty()) {
        m_popularity.recordUse(flow.adapter, m_context.clock.now());
    }
    m_retryBudget = std::min(retryBurst, m_retryBudget + retryShare);
    if (!flow.isIdempotent && !flow.request.idempotencyKey.empty()) {
        claim(flow);
    } else {
        flow.stage = Stage::Choosing;
        choose(flow);
    }
}

void Gateway::claim(Flow &flow)
{
    flow.stage = Stage::Claiming;
    const uint64_t caller = flow.request.caller;
    const std::string digest = sha256Hex(flow.route.text() + "\n" + flow.request.payload);
    const TeamId team = flow.team;
    const std::string key = flow.request.idempotencyKey;
    m_context.claims.claim(team, key, flow.id, digest,
                           [this, caller, id = flow.id, team, key](const ClaimKeeper::Verdict &verdict) {
                               const auto found = m_flows.find(caller);
                               if (found == m_flows.end() || found->second.id != id) {
                                   if (verdict.result == ClaimKeeper::Result::Granted) {
                                       m_context.claims.release(team, key, id);
                                   }
                                   return;
                               }
                               Flow &flow = found->second;
                               switch (verdict.result) {
                               case ClaimKeeper::Result::Granted:
                                   flow.hasClaim = true;
                                   flow.stage = Stage::Choosing;
                                   choose(flow);
                                   break;
                               case ClaimKeeper::Result::Answered:
                                   m_context.callers.answer(caller, verdict.status, verdict.body);
                                   close(flow, std::nullopt, Tokens(0));
                                   break;
                               case ClaimKeeper::Result::Running:
                                   refuse(flow,
                                          {RefusalCode::InProgress, RunState::Unknown, refusalRetryAfter,
                                           "another attempt with this idempotency key is running"});
                                   break;
                               case ClaimKeeper::Result::Unknown:
                                   refuse(flow,
                                          {RefusalCode::OutcomeUnknown, RunState::Unknown, Millis(0),
                                           "the outcome of an earlier attempt with this idempotency key was lost"});
                                   break;
                               case ClaimKeeper::Result::Mismatch:
                                   refuse(flow,
                                          {RefusalCode::IdempotencyMismatch, RunState::NotRun, Millis(0),
                                           "the idempotency key was used for another request"});
                                   break;
                               case ClaimKeeper::Result::Unavailable:
                                   refuse(flow,
                                          {RefusalCode::PlatformUnavailable, RunState::NotRun, refusalRetryAfter,
                                           "the idempotency key can't be recorded now"});
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

void Gateway::choose(Flow &flow)
{
    const Millis now = m_context.clock.now();
    if (isWithdrawn(flow)) {
        refuse(flow, {RefusalCode::Unauthenticated, RunState::NotRun, Millis(0), "the key was withdrawn"});
        return;
    }
    if (flow.deadlineAt <= now) {
        expire(flow);
        return;
    }
    if (flow.attempt >= maxAttempts) {
        refuse(flow, {flow.lastCode, RunState::NotRun, refusalRetryAfter, "no replica took the request"});
        return;
    }
    std::vector<Candidate> candidates = m_context.replicas.candidates(flow.pool);
    std::vector<Candidate> fresh;
    std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(fresh), [&](const Candidate &candidate) {
        return flow.tried.count(candidate.replica) == 0;
    });
    if (fresh.empty()) {
        // Every replica was tried or there is none; wait for the fleet to change, within the deadline.
        flow.tried.clear();
        flow.nextTryAt = now + retryDelay * 4;
        return;
    }
    const size_t index = m_context.placement.choose(flow.adapter, popularityOf(flow.adapter), fresh, m_context.random);
    const Replica *replica = m_context.config->findReplica(fresh[index].replica);
    if (replica == nullptr) {
        flow.nextTryAt = now + retryDelay;
        return;
    }
    ++flow.attempt;
    flow.replica = replica->id;
    flow.tried.insert(replica->id);
    flow.stage = Stage::Running;
    m_context.replicas.noteDispatch(replica->id, 1);
    if (flow.adapter.isEmpty()) {
        sendToService(flow, *replica);
    } else {
        sendToOwner(flow, *replica);
    }
}

void Gateway::sendToOwner(Flow &flow, const Replica &replica)
{
    flow.owner = m_context.replicas.ownerOf(replica.id);
    const Millis timeLeft = flow.deadlineAt - m_context.clock.now();
    const WorkRequest work {flow.id,   flow.attempt, replica.id,           flow.team,
                            flow.key,  flow.adapter, flow.request.payload, flow.request.maxTokens,
                            flow.cost, flow.pieces,  flow.isInteractive,   timeLeft};
    m_context.sink.deliver(flow.owner.address, work);
}

void Gateway::sendToService(Flow &flow, const Replica &replica)
{
    flow.call = m_context.nextCall++;
    m_callerByCall[flow.call] = flow.request.caller;
    m_context.backends.submit(
        {flow.call, replica.id, replica.address, ServiceCall {flow.id, flow.route, flow.request.payload}});
}

Gateway::Flow *Gateway::find(const RequestId &id, uint32_t attempt)
{
    const auto caller = m_callerById.find(id);
    if (caller == m_callerById.end()) {
        return nullptr;
    }
    Flow &flow = m_flows.at(caller->second);
    const bool isCurrent = flow.stage == Stage::Running && flow.attempt == attempt;
    return isCurrent ? &flow : nullptr;
}

void Gateway::onPiece(const WorkPiece &piece)
{
    Flow *flow = find(piece.request, piece.attempt);
    if (flow == nullptr || piece.adapter != flow->adapter) {
        m_context.log.record(EventCode::AnswerDropped, piece.request.text(), "late or crossed piece");
        return;
    }
    if (piece.index >= flow->pieces) {
        flow->early.emplace(piece.index, piece.text);
    }
    passPieces(*flow);
}

void Gateway::passPieces(Flow &flow)
{
    for (auto next = flow.early.begin(); next != flow.early.end() && next->first <= flow.pieces;
         next = flow.early.erase(next)) {
        if (next->first < flow.pieces) {
            continue;
        }
        if (flow.firstPieceAt.value < 0) {
            flow.firstPieceAt = m_context.clock.now();
        }
        ++flow.pieces;
        m_context.callers.piece(flow.request.caller, next->second);
    }
    if (flow.end && flow.pieces == flow.end->pieces) {
        complete(flow, flow.end->used);
    }
}

void Gateway::onEnd(const WorkEnd &end)
{
    Flow *flow = find(end.request, end.attempt);
    if (flow == nullptr) {
        return;
    }
    flow->loadWait = std::max(flow->loadWait, end.loadWait);
    switch (end.result) {
    case WorkEnd::Result::Complete:
        flow->end = end;
        passPieces(*flow);
        break;
    case WorkEnd::Result::NotExecuted:
        tryAgain(*flow, end.code, false);
        break;
    case WorkEnd::Result::Broken:
        tryAgain(*flow, end.code, true);
        break;
    case WorkEnd::Result::Refused:
        m_context.replicas.noteDispatch(flow->replica, -1);
        refuse(*flow, {end.code, RunState::NotRun, Millis(0), "the request was refused at dispatch"});
        break;
    }
}

bool Gateway::spendRetry()
{
    if (m_retryBudget < 1) {
        return false;
    }
    m_retryBudget -= 1;
    return true;
}

void Gateway::tryAgain(Flow &flow, RefusalCode code, bool isLost)
{
    m_context.replicas.noteDispatch(flow.replica, -1);
    flow.lastCode = code;
    flow.early.clear();
    flow.end.reset();
    flow.stage = Stage::Choosing;
    if (isLost) {
        flow.mayHaveRun = true;
        m_context.replicas.noteFailure(flow.replica);
        if (!flow.isIdempotent) {
            if (flow.hasClaim) {
                m_context.claims.recordUnknown(flow.team, flow.request.idempotencyKey, flow.id);
            }
            refuse(flow,
                   {RefusalCode::OutcomeUnknown, RunState::Unknown, Millis(0),
                    "the connection to the service was lost while the request ran"});
            return;
        }
        if (!spendRetry()) {
            refuse(flow,
                   {RefusalCode::BackendFailed, RunState::Unknown, refusalRetryAfter,
                    "the replica failed and the retry budget is spent"});
            return;
        }
    }
    m_context.log.record(EventCode::RequestRetried, flow.id.text(), std::string(refusalName(code)));
    const Millis jitter(static_cast<int64_t>(m_context.random.below(retryJitter)));
    flow.nextTryAt = m_context.clock.now() + (isLost ? jitter : Millis(flow.attempt > 2 ? retryDelay.value : 0));
    if (flow.nextTryAt <= m_context.clock.now()) {
        choose(flow);
    }
}

bool Gateway::onBackendEvent(const BackendEvent &event)
{
    const auto found = m_callerByCall.find(event.call);
    if (found == m_callerByCall.end()) {
        return false;
    }
    Flow &flow = m_flows.at(found->second);
    m_callerByCall.erase(found);
    flow.call = 0;
    if (const auto *answer = std::get_if<ServiceAnswer>(&event.what)) {
        answerService(flow, answer->status, answer->body);
    } else if (std::holds_alternative<NotSent>(event.what) || std::holds_alternative<Rejected>(event.what)) {
        tryAgain(flow, RefusalCode::NoReplica, false);
    } else {
        tryAgain(flow, RefusalCode::BackendFailed, true);
    }
    return true;
}

void Gateway::answerService(Flow &flow, int status, const std::string &body)
{
    m_context.replicas.noteDispatch(flow.replica, -1);
    if (flow.hasClaim) {
        m_context.claims.recordAnswer(flow.team, flow.request.idempotencyKey, flow.id, status, body);
        flow.hasClaim = false;
    }
    m_context.callers.answer(flow.request.caller, status, body);
    close(flow, std::nullopt, flow.cost);
}

void Gateway::complete(Flow &flow, Tokens used)
{
    m_context.replicas.noteDispatch(flow.replica, -1);
    m_context.callers.finish(flow.request.caller, used);
    close(flow, std::nullopt, used);
}

void Gateway::refuse(Flow &flow, const Refusal &proposed)
{
    Refusal refusal = proposed;
    const bool mayHaveRun = flow.mayHaveRun || flow.pieces > 0;
    if (mayHaveRun && refusal.runState == RunState::NotRun) {
        refusal.runState = RunState::Unknown;
    }
    if (flow.hasClaim && refusal.runState == RunState::NotRun) {
        m_context.claims.release(flow.team, flow.request.idempotencyKey, flow.id);
    }
    m_context.log.record(EventCode::RequestRefused, flow.id.text(), std::string(refusalName(refusal.code)));
    m_context.callers.refuse(flow.request.caller, refusal);
    const Tokens used = refusal.runState == RunState::NotRun ? Tokens(0) : flow.cost;
    close(flow, refusal.code, used);
}

void Gateway::close(Flow &flow, const std::optional<RefusalCode> &refusal, Tokens used)
{
    if (flow.isCharged) {
        m_context.quota.settle(flow.quotaItem, flow.cost - std::min(used, flow.cost));
    } else if (flow.quotaItem != 0) {
        m_context.quota.cancel(flow.quotaItem);
    }
    const Millis now = m_context.clock.now();
    const Millis firstAt = flow.firstPieceAt.value < 0 ? now : flow.firstPieceAt;
    const std::string priority = flow.adapter.isEmpty() ? "service" : (flow.isInteractive ? "interactive" : "batch");
    m_context.metrics.record({flow.team, priority, refusal, flow.admittedAt, firstAt - flow.arrivedAt,
                              now - flow.arrivedAt, flow.loadWait, used});
    m_callerByCall.erase(flow.call);
    m_callerById.erase(flow.id);
    m_flows.erase(flow.request.caller);
}

void Gateway::onCallerGone(uint64_t caller)
{
    const auto found = m_flows.find(caller);
    if (found == m_flows.end()) {
        return;
    }
    Flow &flow = found->second;
    if (flow.stage == Stage::Running && flow.adapter.isEmpty() && !flow.isIdempotent) {
        return; // its outcome still has to be recorded
    }
    if (flow.stage == Stage::Running) {
        m_context.replicas.noteDispatch(flow.replica, -1);
        if (!flow.adapter.isEmpty()) {
            m_context.sink.deliver(flow.owner.address, WorkCancel {flow.id, flow.attempt});
        } else {
            m_context.backends.cancel(flow.call);
        }
    }
    if (flow.hasClaim) {
        m_context.claims.release(flow.team, flow.request.idempotencyKey, flow.id);
    }
    const Tokens used = flow.stage == Stage::Running ? flow.cost : Tokens(0);
    close(flow, RefusalCode::BadRequest, used);
}

void Gateway::expire(Flow &flow)
{
    const bool mayHaveRun = flow.stage == Stage::Running || flow.mayHaveRun || flow.pieces > 0;
    if (flow.stage == Stage::Running) {
        m_context.replicas.noteDispatch(flow.replica, -1);
        if (!flow.adapter.isEmpty()) {
            m_context.sink.deliver(flow.owner.address, WorkCancel {flow.id, flow.attempt});
        }
        if (flow.hasClaim) {
            m_context.claims.recordUnknown(flow.team, flow.request.idempotencyKey, flow.id);
        }
    }
    refuse(flow,
           {mayHaveRun ? RefusalCode::OutcomeUnknown : RefusalCode::DeadlineTooShort,
            mayHaveRun ? RunState::Unknown : RunState::NotRun, Millis(0), "the deadline passed"});
}

void Gateway::tick()
{
    const Millis now = m_context.clock.now();
    std::vector<uint64_t> callers;
    for (const auto &[caller, flow] : m_flows) {
        callers.push_back(caller);
    }
    for (uint64_t caller : callers) {
        const auto found = m_flows.find(caller);
        if (found == m_flows.end()) {
            continue;
        }
        Flow &flow = found->second;
        const bool isAdapter = !flow.adapter.isEmpty();
        if (flow.deadlineAt <= now && flow.stage != Stage::Claiming) {
            expire(flow);
        } else if (flow.stage == Stage::Choosing && flow.nextTryAt <= now) {
            choose(flow);
        } else if (flow.stage == Stage::Running && isAdapter && m_context.replicas.isLost(flow.owner)) {
            m_context.sink.deliver(flow.owner.address, WorkCancel {flow.id, flow.attempt});
            tryAgain(flow, RefusalCode::BackendFailed, true);
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
