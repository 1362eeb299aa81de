#pragma once

#include "core/buffershares.h"
#include "core/ids.h"
#include "core/refusal.h"
#include "core/units.h"
#include "net/httpupstream.h"
#include "policy/poolretrybudgets.h"
#include "serving/interfaces/attemptsender.h"
#include "serving/loading/adapterdemand.h"
#include "serving/placement/attempttracker.h"
#include "serving/placement/servicechooser.h"
#include "serving/placement/versionguard.h"
#include "serving/queueing/activerequest.h"
#include "serving/queueing/overloadcontrol.h"
#include "serving/queueing/requesttable.h"
#include "serving/queueing/stopgate.h"
#include "serving/queueing/waitingqueue.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace vanillaspar
{
class Clock;
class Random;
struct AdapterRequest;
struct AdapterUse;
}

namespace vanillaspar::serving
{

class Admission;
class AdapterVersions;
class BackendTable;
class ResponseWriter;
class EngineChooser;
class PromptGuard;
class ReplicaLatencies;
class RequestLog;
class ResidencyMap;
struct Admitted;
struct BackendState;

/** The components that a dispatcher works with. They must outlive it. */
struct DispatchContext
{
    const Clock &clock;
    ResponseWriter &callers;
    AttemptSender &attempts;
    Admission &admission;
    BackendTable &backends;
    ResidencyMap &residency;
    const AdapterVersions &versions;
    EngineChooser &chooser;
    PromptGuard &prompts;
    RequestLog &log;
    DomainId domain; ///< Failure domain of this host.
    ReplicaLatencies *latencies = nullptr; ///< Observed latencies to choose replicas by; nullptr for none.
    Random *random = nullptr; ///< Varies the choice by latencies; nullptr only without them.
};

/**
 * Queues, sends and retries requests until each has a complete response or a refusal.
 *
 * Requests wait in a queue, ordered by priority and arrival or by OverloadControl, until a replica has capacity, and
 * are then sent to it directly. A request that was never sent or that a replica states not to have executed is sent to
 * another replica. One that may have been executed is retried only if its route allows it. A refusal states whether the
 * request was executed at all, as far as that is known.
 */
class Dispatcher
{
public:
    explicit Dispatcher(DispatchContext context);
    ~Dispatcher();

    /** Limits the retries that this host sends to each pool. */
    void setRetryLimits(const RetryLimits &limits);
    /**
     * From now on refuses requests that may not end in time, and in the end those that have no response yet.
     *
     * @param grace until the process is killed.
     */
    void beginStop(Millis grace);

    /** Admits a request and sends, queues or refuses it. */
    void onRequest(ClientRequest request);
    /** The caller disconnected: cancels its request. */
    void onCallerGone(uint64_t exchange);
    /** A replica sent the status and the headers of its response. */
    void onAttemptHead(uint64_t attempt, const AttemptHead &head);
    /** A replica sent a part of the body. */
    void onAttemptBody(uint64_t attempt, std::string_view data);
    /** An attempt ended. @param how whether the response is complete or what went wrong. */
    void onAttemptEnd(uint64_t attempt, UpstreamEnd how);
    /** Sends waiting requests, refuses those that waited too long and ends those past their deadline. */
    void tick();
    /** Sends the waiting requests that a replica has capacity for. To be called after capacity may have changed. */
    void sendWaiting();

    /** @return number of requests without a final response. */
    size_t openCount() const
    {
        return m_requests.all().size();
    }
    /** @return the requests without a final response. */
    const RequestTable &requests() const
    {
        return m_requests;
    }
    /** @return number of requests in the queue. */
    size_t waitingCount() const
    {
        return m_waiting.size();
    }
    /** @return the numbers of this host's requests at engines, by replica and weights. */
    std::map<ReplicaId, std::map<std::string, AdapterUse>> adapterUses() const
    {
        return m_requests.adapterUses();
    }
    /** @return how scarce capacity is shared; disabled by default. */
    OverloadControl &overload()
    {
        return m_overload;
    }
    /** @return requests for loading the adapters that were needed since the last call, one per replica and adapter. */
    std::vector<AdapterRequest> takeAdapterRequests();

private:
    enum class Placement
    {
        Sent,
        Waits, ///< No replica has capacity now.
        Ended, ///< The request was refused and its state erased.
    };

    /**
     * Logs a refusal and sends it to the caller.
     *
     * @param active nullptr if the request was not admitted.
     */
    void reject(const ClientRequest &request, const ActiveRequest *active, const Refusal &refusal);
    /** Sends a request if a replica has capacity. Refuses it if its key or its pool became invalid. */
    Placement tryPlace(ActiveRequest &active);
    void send(ActiveRequest &active, BackendState &backend);
    /** Sends a request or queues it; refuses it if the expected wait is too long for its objective. */
    void placeOrQueue(ActiveRequest &active);
    /**
     * Sends a request again, or refuses it if its attempts, its time or the retry budget are used up.
     *
     * @param countsAsRetry whether to charge the retry budget.
     * @param code for the refusal.
     * @param why the last attempt failed, for the log and the refusal.
     */
    void retryOrRefuse(ActiveRequest &active, bool countsAsRetry, RefusalCode code, const std::string &why);
    /** The replica stated that it did not execute the request. */
    void onNotExecuted(ActiveRequest &active);
    /**
     * Records that the replica may have executed the request without a usable response.
     *
     * @return whether the route allows an attempt at another replica.
     */
    bool recordPossibleRun(ActiveRequest &active);
    /** The response broke off after its start was forwarded. */
    void onResponseInterrupted(ActiveRequest &active);
    /** The attempt ended without a usable response and may have been executed. */
    void onResponseLost(ActiveRequest &active);
    /** Finishes the response to the caller. */
    void complete(ActiveRequest &active);
    /**
     * Ends a request without a response from a replica and refunds its cost if it was not executed.
     *
     * @param refusal its run state is that of the last attempt. "Not run" becomes "unknown" if an earlier attempt may
     * have been executed.
     */
    void refuse(ActiveRequest &active, Refusal refusal);
    /** Aborts a response whose start was forwarded. */
    void abortResponse(ActiveRequest &active, const std::string &why);
    /** @return why this host takes no such request now, or nothing. */
    std::optional<Refusal> checkAccepted(const ClientRequest &request, const Admitted &admitted) const;
    /** Breaks off attempts until what streams keep of incomplete events is within the limits. */
    void limitIncompleteEvents();
    /** Closes the connection of an attempt whose response can't be used. */
    void breakOff(ActiveRequest &active);
    /** Ends a request at a replica that is about to crash on it. */
    void withdraw(ActiveRequest &active);
    /** Refuses all requests that have no response yet, as the process is about to end. */
    void refuseUnanswered();
    /** Ends a request whose deadline or wait deadline passed. */
    void expire(ActiveRequest &active);
    /** Cancels the attempt, if any, and deletes the request. */
    void erase(ActiveRequest &active);

    DispatchContext m_context;
    ServiceChooser m_services;
    VersionGuard m_versionGuard;
    AttemptTracker m_tracker;
    RequestTable m_requests;
    WaitingQueue m_waiting;
    OverloadControl m_overload;
    PoolRetryBudgets m_retryBudgets;
    AdapterDemand m_adapterDemand;
    BufferShares m_incompleteEvents;
    StopGate m_stopGate;
};

}
