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

/** The dependencies of a Gateway, all provided by its node. */
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
 * Handles callers' requests on the host that received them, until each has a complete answer or a refusal that states
 * whether it may have been executed.
 *
 * A request is validated against its API key and route, charged to the team's token bucket, recorded under its
 * idempotency key if it has one and isn't idempotent, and then sent to the owner of a replica, or directly to a plain
 * service. A failed attempt is retried on another replica if that can't execute a non-idempotent request twice.
 */
class Gateway
{
public:
    explicit Gateway(GatewayContext context);

    /** Sets the prefix of the IDs of new requests. */
    void setIncarnation(const Incarnation &incarnation);
    /**
     * Sets whether the configuration is confirmed as current. Requests with an API key are refused while it isn't,
     * unless NodeSettings::servesUnconfirmed is set.
     */
    void setConfirmed(bool isConfirmed);
    /** Makes the gateway refuse new requests; those in progress continue. */
    void stopAccepting();

    void onRequest(const CallerRequest &request);
    /**
     * Cancels the request of a caller that closed its connection. A non-idempotent service call that was already sent
     * goes on, so that its outcome is recorded.
     */
    void onCallerGone(uint64_t caller);
    /** Handles a piece of an answer from a replica's owner. */
    void onPiece(const WorkPiece &piece);
    /** Handles the outcome of an attempt from a replica's owner. */
    void onEnd(const WorkEnd &end);
    /** @return whether the event belongs to a service call of this gateway. */
    bool onBackendEvent(const BackendEvent &event);
    /** Expires overdue requests, retries those that wait and those whose replica's owner is lost. */
    void tick();

    /**
     * @param target an adapter as name@version; for anything else the order is random.
     * @return caller addresses of all hosts that accept callers. The first is that of the owner of the replica
     *         that would be chosen now, if it accepts callers; the others are in random order.
     */
    std::vector<std::string> addressesFor(const std::string &target);

    /** @return the number of requests in progress. */
    size_t openCount() const
    {
        return m_activeRequests.size();
    }

private:
    enum class Stage
    {
        Admitting, ///< Waits for tokens.
        Claiming, ///< Waits until its idempotency key is recorded.
        Dispatching, ///< Waits for a replica or for its next attempt.
        Running, ///< Was sent.
    };
    /** A request in progress. */
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
        bool isCharged = false; ///< Whether tokens were granted.
        uint64_t quotaItem = 0; ///< Its number in the QuotaKeeper; 0 if it asked for no tokens.
        bool hasClaim = false; ///< Whether its idempotency key is recorded as being in use by it.
        Millis arrivedAt;
        Millis admittedAt {-1};
        Millis deadlineAt;
        Millis nextAttemptAt;
        uint32_t attempt = 0; ///< Number of the latest attempt, from 1.
        ReplicaId replica;
        OwnerRef owner; ///< The node that the latest attempt was sent to.
        uint64_t call = 0; ///< ID of the service call in progress; 0 if there is none.
        std::set<ReplicaId> triedReplicas; ///< Emptied when no untried replica is left.
        bool mayHaveExecuted = false; ///< Whether the outcome of an attempt is unknown.
        uint64_t forwardedPieces = 0; ///< Over all attempts; a retry continues after them.
        std::map<uint64_t, std::string> outOfOrderPieces; ///< By index; received before a preceding one.
        std::optional<WorkEnd> completion; ///< Set if the attempt is complete but pieces are missing.
        Millis firstPieceAt {-1};
        Millis loadWait;
        RefusalCode lastFailure = RefusalCode::NoReplica;
    };

    /**
     * Validates a new request and fills in its team, key, adapter, pool, route and cost.
     *
     * @return the refusal if it isn't valid.
     */
    std::optional<Refusal> validate(ActiveRequest &active) const;
    std::optional<Refusal> resolveAdapter(ActiveRequest &active, const ApiKey *key) const;
    std::optional<Refusal> resolveRoute(ActiveRequest &active, const ApiKey *key) const;
    /** @return whether the key has been removed from the configuration since the request arrived. */
    bool hasWithdrawnKey(const ActiveRequest &active) const;
    void admit(ActiveRequest &active);
    void onAdmitted(uint64_t caller);
    void claim(ActiveRequest &active);
    /** Sends the request to a replica; without a candidate it is tried again later. */
    void dispatch(ActiveRequest &active);
    void sendToOwner(ActiveRequest &active, const Replica &replica);
    void sendToService(ActiveRequest &active, const Replica &replica);
    /**
     * Ends the latest attempt and makes another one, or refuses the request.
     *
     * @param code why the attempt failed.
     * @param isOutcomeUnknown whether the attempt may have been executed; if so, the retry takes from the retry budget
     *                         and only idempotent requests get one.
     */
    void retry(ActiveRequest &active, RefusalCode code, bool isOutcomeUnknown);
    /** Sends the caller all pieces that are next in order, and completes the answer after the last one. */
    void forwardPieces(ActiveRequest &active);
    void complete(ActiveRequest &active, Tokens used);
    void completeService(ActiveRequest &active, int status, const std::string &body);
    /** Refuses and closes the request. NotRun becomes Unknown if an earlier attempt may have been executed. */
    void refuse(ActiveRequest &active, const Refusal &original);
    /** Settles the tokens, records the metrics and removes the request; @p active is invalid afterwards. */
    void close(ActiveRequest &active, const std::optional<RefusalCode> &refusal, Tokens used);
    void expire(ActiveRequest &active);
    /** @return whether the retry budget allowed one more retry. */
    bool tryConsumeRetry();
    /** @return the adapter's part of the recent requests, from 0 to 1. */
    double popularityOf(const AdapterRef &adapter) const;
    /** @return the request if @p attempt is its latest attempt and still in progress, else nullptr. */
    ActiveRequest *findRunning(const RequestId &id, uint32_t attempt);

    GatewayContext m_context;
    Incarnation m_incarnation;
    std::map<uint64_t, ActiveRequest> m_activeRequests; ///< By caller.
    std::map<RequestId, uint64_t> m_callerById;
    std::map<uint64_t, uint64_t> m_callerByCall; ///< Of service calls in progress.
    Popularity m_popularity;
    uint64_t m_nextRequest = 1;
    double m_retryBudget; ///< Retries that are allowed now; grows with each admitted request.
    bool m_isConfirmed = false;
    bool m_isAccepting = true;
};

}
