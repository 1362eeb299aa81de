#pragma once

#include "core/eventcutter.h"
#include "core/ids.h"
#include "core/units.h"
#include "serving/clientrequest.h"
#include "serving/replicachoice.h"
#include "serving/servingconfig.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <set>

namespace vanillaspar::serving
{

struct Admitted;

/** What a replica has said of the present attempt. */
enum class AttemptOutcome
{
    None, ///< Nothing yet, or the start of an answer.
    NotExecuted, ///< It did not run the request.
    AdapterMissing, ///< It did not, since the adapter isn't there.
    OtherServer, ///< It did not, since it is another server at the replica's address.
    Failed, ///< It ran the request and failed, and the request may be repeated elsewhere.
};

/** A request between its admission and its end. */
struct ActiveRequest
{
    ClientRequest request;
    RouteName route;
    ConfigVersion config; ///< The one that it was admitted by.
    RequestKind kind = RequestKind::NonIdempotent;
    bool isPublic = false;
    bool isResumable = false; ///< It is a stream that may go on at another replica.
    int maxReplicas = 1;
    int priority = 0;
    PoolId pool;
    bool isEngine = false;
    std::optional<TeamId> team;
    double cost = 0; ///< Taken from the team's quota.
    int64_t tokens = 0; ///< It takes that much of an engine's memory.
    int64_t pendingPrefill = 0; ///< Prompt tokens that the present attempt's replica still has to read.
    Millis objective;
    Millis lateAfter; ///< An answer that begins later is late.
    Millis deadline; ///< The caller must have its final answer by then.
    Millis waitDeadline; ///< If it still waits then, it is refused.

    uint64_t attempt = 0; ///< 0 while it waits.
    ReplicaId replica; ///< Where the attempt is.
    Millis sentAt;
    double replicaLoad = 0; ///< Of the replica when it was chosen, in parts of its batch.
    AdapterAvailability availability; ///< At the last look for a replica.
    Millis answeredAt {-1}; ///< When the start of the answer was passed on; negative before.
    EventCutter events; ///< Of a stream that may be resumed.
    AttemptOutcome outcome = AttemptOutcome::None;
    int attemptCount = 0;
    std::set<ReplicaId> mayHaveRunOn; ///< Replicas that it may have run on.
    std::set<ReplicaId> excluded; ///< Replicas that could not take it.
    Millis notBefore {0}; ///< Not to be sent before.

    /** @return whether the answer's start was passed on. */
    bool isAnswering() const
    {
        return answeredAt.value >= 0;
    }
    /** @return whether an earlier attempt may have run. */
    bool mayHaveRun() const
    {
        return !mayHaveRunOn.empty();
    }
    /** @return whether it may run more than once. */
    bool isRetryable() const
    {
        return kind == RequestKind::Idempotent || isResumable;
    }
};

/** @return a active for a request that was just admitted. */
std::unique_ptr<ActiveRequest> makeActiveRequest(ClientRequest request, const Admitted &admitted);

}
