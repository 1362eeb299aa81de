#pragma once

#include "core/eventcutter.h"
#include "core/eventscanner.h"
#include "core/ids.h"
#include "core/units.h"
#include "serving/interfaces/clientrequest.h"
#include "serving/interfaces/servingconfig.h"
#include "serving/replicas/replicachoice.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <set>

namespace vanillaspar::serving
{

struct Admitted;
struct AttemptHead;

/** What the replica has reported about the current attempt. */
enum class AttemptOutcome
{
    None, ///< Nothing yet, or the start of a response that is forwarded.
    NotExecuted, ///< It did not execute the request.
    AdapterMissing, ///< It did not execute it because the adapter isn't resident.
    OtherServer, ///< It did not execute it because another server uses the replica's address.
    Failed, ///< It executed the request and failed; the response is not forwarded.
};

/** @return the reason why a replica did not execute a request. @param isEngine whether it is an engine. */
AttemptOutcome reasonNotExecuted(const AttemptHead &head, bool isEngine);

/** What a host knew of the versions of a request's adapter when it sent the request to a replica. */
struct KnownVersions
{
    int64_t resident = 0; ///< Believed to be resident in the replica.
    int64_t required = 0; ///< The oldest one that might be used.
    int64_t newest = 0; ///< The newest one that was announced.
    int64_t expected = 0; ///< The only one on which the replica may answer; 0 for any.
};

/** An admitted request, waiting or being executed, until its final response. */
struct ActiveRequest
{
    ClientRequest request;
    RouteName route;
    ConfigVersion config; ///< Configuration that it was admitted under.
    RequestKind kind = RequestKind::NonIdempotent;
    bool isPublic = false;
    bool isResumable = false; ///< Whether it is a stream that may be continued at another replica.
    int maxReplicas = 1; ///< Replicas that may execute it.
    int priority = 0; ///< 0 is the most urgent.
    PoolId pool;
    bool isEngine = false; ///< Whether the pool consists of engines rather than a plain service.
    std::optional<TeamId> team;
    double cost = 0; ///< Charged to the team's quota.
    int64_t tokens = 0; ///< Tokens that it occupies in an engine's KV cache.
    int64_t pendingPrefill = 0; ///< Prompt tokens that the replica of the current attempt has yet to process.
    Millis objective; ///< Latency objective of the route, but at least a minimum.
    Millis lateAfter; ///< A response that starts later counts as late.
    Millis deadline; ///< The caller gets its final response by then.
    Millis waitDeadline; ///< It is refused if it still waits then.

    uint64_t attempt = 0; ///< 0 while it waits.
    ReplicaId replica; ///< Replica of the current or last attempt.
    Millis sentAt; ///< When the last attempt was sent.
    Millis attemptAnsweredAt {-1}; ///< When the start of the current attempt's response arrived; negative before.
    bool isWithdrawn = false; ///< Whether this host cancelled the current attempt, so that its replica isn't blamed.
    bool hasBegun = false; ///< Whether a part of the current attempt's answer has arrived.
    bool isStarting = false; ///< Whether the current attempt's answer has yet to progress.
    EventScanner progress; ///< Events of the current attempt's response.
    double expectedLatency
        = 0; ///< Milliseconds until the current attempt's response at an average replica; 0 if unknown.
    double queueFactor = 1; ///< Part of it that stands for requests ahead: 1 if there are none.
    double countedRatio = 0; ///< Observed by expected time at which the current attempt last counted as slow.
    double prefillAhead = 0; ///< Prompt tokens that its replica had to read when it was sent, its own included.
    KnownVersions versions; ///< As of the last attempt's sending.
    double replicaLoad = 0; ///< Load of the replica when it was chosen, as a fraction of its slots.
    AdapterAvailability availability; ///< As of the last search for a replica.
    Millis answeredAt {-1}; ///< When the start of the response was forwarded; negative before.
    int answerStatus = 0; ///< Of the response whose start was forwarded.
    std::string answerType; ///< Content type of that response.
    bool endsWithConnection = false; ///< Whether the current attempt's response has neither a length nor chunks.
    EventCutter events; ///< Splits a resumable stream into whole events.
    AttemptOutcome outcome = AttemptOutcome::None;
    Millis outcomeAt {-1}; ///< When the outcome of the current attempt was set; negative before.
    size_t discardedBytes = 0; ///< Of the current attempt's response, received and not forwarded.
    int attemptCount = 0; ///< Attempts sent so far.
    std::string resendCause; ///< Why the last attempt failed, for the log.
    bool isResendCharged = false; ///< Whether the retry budget was charged for the next or current attempt.
    std::set<ReplicaId> mayHaveRunOn; ///< Replicas that may have executed it.
    std::set<ReplicaId> sentTo; ///< Replicas of earlier attempts.
    std::set<ReplicaId> excluded; ///< Replicas that could not be reached or refused it.
    Millis notBefore {0}; ///< The next attempt is not sent before.

    /** @return whether the start of a response was forwarded to the caller. */
    bool isResponding() const
    {
        return answeredAt.value >= 0;
    }
    /** @return whether the current attempt's answer has progressed so far that its start can't end the replica any
     * more.
     */
    bool hasProgressed(Millis now) const;
    /** @return whether a response that has ended with its framing intact is an event stream that was broken off. */
    bool isCutShort() const;
    /** Records the head of the response whose start is forwarded at @p now. */
    void beginResponse(const HttpHead &head, Millis now);
    /** @return whether a response may go on in place of the one that was forwarded and broke off. */
    bool isContinuedBy(const HttpHead &head) const;
    /** @return whether an earlier attempt may have been executed. */
    bool mayHaveRun() const
    {
        return !mayHaveRunOn.empty();
    }
    /** @return a fraction from 0 to 1 that differs between requests, to spread their callers' retries. */
    double returnSpread() const;
    /** @return whether another replica may execute it although the current one has. */
    bool mayRunElsewhere() const
    {
        return isRetryable() && static_cast<int>(mayHaveRunOn.size()) + 1 < maxReplicas;
    }
    /** @return whether the signed answer of a replica that has executed it is a failure that isn't forwarded. */
    bool withholdsFailure(const AttemptHead &head) const;
    /** @return whether it may be executed more than once. */
    bool isRetryable() const
    {
        return kind == RequestKind::Idempotent || isResumable;
    }
};

/** @return the time from its receipt within which a request gets its final response. */
Millis timeLimitOf(const ClientRequest &request, const Route &route);

/** @return the state of a request that was just admitted, with its deadlines computed. */
std::unique_ptr<ActiveRequest> makeActiveRequest(ClientRequest request, const Admitted &admitted);

}
