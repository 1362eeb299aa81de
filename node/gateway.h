#pragma once

#include "backend/backendevent.h"
#include "cluster/messages/work.h"
#include "core/refusal.h"
#include "node/callerrequest.h"
#include "node/ownerref.h"
#include "policy/placement.h"
#include "policy/popularity.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace vanillaspar
{

class ActiveConfig;
class BackendLink;
class CallerLink;
class ClaimKeeper;
class Clock;
class EventLog;
class MetricSink;
class QuotaKeeper;
class Random;
class ReplicaView;
class WorkSink;
struct ApiKey;
struct NodeSettings;
struct Replica;
struct Route;

/** What the gateway needs from its node. */
struct GatewayContext
{
    const NodeSettings &settings;
    const Clock &clock;
    CallerLink &callers;
    BackendLink &backends;
    QuotaKeeper &quota;
    ClaimKeeper &claims;
    ReplicaView &replicas;
    WorkSink &sink;
    EventLog &log;
    MetricSink &metrics;
    Random &random;
    const std::shared_ptr<const ActiveConfig> &config;
    uint64_t &nextCall;
    const Placement &placement;
};

/**
 * Takes callers' requests and sees each one to a complete answer or a truthful refusal.
 *
 * A request passes these stages: checked against key and route, admitted by the team's tokens, claimed if it must not
 * run twice, then sent to the owner of a replica or to a plain service, again if it may be.
 */
class Gateway
{
public:
    explicit Gateway(GatewayContext context);

    /** Starts request numbers of a new incarnation. */
    void setIncarnation(const Incarnation &incarnation);
    /** Says whether keys may be served, by whether the configuration is confirmed. */
    void setConfirmed(bool isConfirmed);
    /** Refuses new requests from now on. */
    void stopAccepting();

    void onRequest(const CallerRequest &request);
    /** The caller closed its connection. */
    void onCallerGone(uint64_t caller);
    void onPiece(const WorkPiece &piece);
    void onEnd(const WorkEnd &end);
    /** @return whether the event was for a call of this gateway. */
    bool onBackendEvent(const BackendEvent &event);
    void tick();

    /** @return hosts that callers should use for @p target, the best first. */
    std::vector<std::string> addressesFor(const std::string &target);

    /** @return requests that are not answered yet. */
    size_t openCount() const
    {
        return m_activeRequests.size();
    }

private:
    enum class Stage
    {
        Admitting,
        Claiming,
        Dispatching,
        Running,
    };
    struct ActiveRequest
    {
        CallerRequest request;
        RequestId id;
        Stage stage = Stage::Admitting;
        TeamId team;
        KeyId key;
        AdapterRef adapter; ///< Empty for a plain service.
        PoolId pool;
        RouteName route;
        bool isIdempotent = true;
        bool isInteractive = true;
        Tokens cost;
        bool isCharged = false;
        uint64_t quotaItem = 0;
        bool hasClaim = false;
        Millis arrivedAt;
        Millis admittedAt {-1};
        Millis deadlineAt;
        Millis nextAttemptAt;
        uint32_t attempt = 0;
        ReplicaId replica;
        OwnerRef owner; ///< Who the request was sent to.
        uint64_t call = 0; ///< Call of a plain service.
        std::set<ReplicaId> triedReplicas;
        bool mayHaveExecuted = false; ///< An attempt was lost after it was sent.
        uint64_t forwardedPieces = 0;
        std::map<uint64_t, std::string> outOfOrderPieces; ///< Pieces that came before an earlier one.
        std::optional<WorkEnd> completion; ///< Complete, but pieces are missing.
        Millis firstPieceAt {-1};
        Millis loadWait;
        RefusalCode lastFailure = RefusalCode::NoReplica;
    };

    std::optional<Refusal> validate(ActiveRequest &active) const;
    std::optional<Refusal> resolveAdapter(ActiveRequest &active, const ApiKey *key) const;
    std::optional<Refusal> resolveRoute(ActiveRequest &active, const ApiKey *key) const;
    bool hasWithdrawnKey(const ActiveRequest &active) const;
    void admit(ActiveRequest &active);
    void onAdmitted(uint64_t caller);
    void claim(ActiveRequest &active);
    void dispatch(ActiveRequest &active);
    void sendToOwner(ActiveRequest &active, const Replica &replica);
    void sendToService(ActiveRequest &active, const Replica &replica);
    void retry(ActiveRequest &active, RefusalCode code, bool isOutcomeUnknown);
    void forwardPieces(ActiveRequest &active);
    void complete(ActiveRequest &active, Tokens used);
    void completeService(ActiveRequest &active, int status, const std::string &body);
    void refuse(ActiveRequest &active, const Refusal &original);
    void close(ActiveRequest &active, const std::optional<RefusalCode> &refusal, Tokens used);
    void expire(ActiveRequest &active);
    bool tryConsumeRetry();
    double popularityOf(const AdapterRef &adapter) const;
    ActiveRequest *findRunning(const RequestId &id, uint32_t attempt);

    GatewayContext m_context;
    Incarnation m_incarnation;
    std::map<uint64_t, ActiveRequest> m_activeRequests; ///< By caller.
    std::map<RequestId, uint64_t> m_callerById;
    std::map<uint64_t, uint64_t> m_callerByCall;
    Popularity m_popularity;
    uint64_t m_nextRequest = 1;
    double m_retryBudget;
    bool m_isConfirmed = false;
    bool m_isAccepting = true;
};

}
