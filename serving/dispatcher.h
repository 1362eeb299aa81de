#pragma once

#include "core/ids.h"
#include "core/refusal.h"
#include "core/units.h"
#include "net/httpupstream.h"
#include "policy/retrybudget.h"
#include "policy/waitestimate.h"
#include "serving/activerequest.h"
#include "serving/attemptsender.h"
#include "serving/servicechooser.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace vanillaspar
{
class Clock;
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
class RequestLog;
class ResidencyMap;
struct BackendState;

/** What the dispatcher works with. */
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
    RequestLog &log;
    DomainId domain;
};

/**
 * Sees every admitted request to a complete answer or a truthful refusal.
 *
 * Requests wait here, the most urgent first, until a replica can take them; then they are sent straight to it. One that
 * a replica says it did not run, or that was never sent, goes to another one. One that may have run is repeated only if
 * its route allows it.
 */
class Dispatcher
{
public:
    explicit Dispatcher(DispatchContext context);
    ~Dispatcher();

    /** Sets the bound on repeats. @param allowance for this host. */
    void setRetryLimits(double ratio, double allowance, Millis window);
    /** Refuses new streams from now on: the process may end before they do. */
    void stopAcceptingStreams()
    {
        m_isAcceptingStreams = false;
    }
    /** Refuses new requests from now on. */
    void stopAccepting()
    {
        m_isAccepting = false;
    }

    void onRequest(ClientRequest request);
    void onCallerGone(uint64_t exchange);
    void onAttemptHead(uint64_t attempt, const AttemptHead &head);
    void onAttemptBody(uint64_t attempt, std::string_view data);
    void onAttemptEnd(uint64_t attempt, UpstreamEnd how);
    /** Sends what can be sent, refuses what waits for too long, ends what is overdue. */
    void tick();
    /** Sends what can be sent, after something changed. */
    void sendWaiting();

    /** @return requests that are not answered yet. */
    size_t openCount() const
    {
        return m_active.size();
    }
    size_t waitingCount() const
    {
        return m_waiting.size();
    }
    /** @return this host's running requests by replica and adapter. */
    std::map<ReplicaId, std::map<std::string, AdapterUse>> adapterUses() const;
    /** @return adapters that requests have needed since the last call, and where. */
    std::vector<AdapterRequest> takeAdapterRequests();

private:
    using LoadTarget = std::pair<ReplicaId, std::string>; ///< A replica and an adapter.
    using WaitingKey = std::pair<int, uint64_t>; ///< Priority, then the exchange, which tells the order of arrival.
    enum class Placement
    {
        Sent,
        Waits,
        Ended, ///< It was refused.
    };

    /** Tells the log and the caller. @param active nullptr if the request was not admitted. */
    void reject(const ClientRequest &request, const ActiveRequest *active, const Refusal &refusal);
    Placement tryPlace(ActiveRequest &active);
    void send(ActiveRequest &active, BackendState &backend);
    void placeOrQueue(ActiveRequest &active);
    /** @return waiting requests that go before this one. */
    int64_t countAhead(const ActiveRequest &active) const;
    static WaitingKey waitingKeyOf(const ActiveRequest &active);
    void retryOrRefuse(ActiveRequest &active, bool countsAsRetry, RefusalCode code, const std::string &why);
    void onNotExecuted(ActiveRequest &active);
    /** The replica may have run the request and failed it. @return whether the route allows another replica. */
    bool recordPossibleRun(ActiveRequest &active);
    /** The attempt ended after the start of its answer was passed on. */
    void onResponseInterrupted(ActiveRequest &active);
    void onResponseLost(ActiveRequest &active);
    void complete(ActiveRequest &active);
    /** @param refusal says "not run" of the present state; an earlier attempt that may have run is taken into account.
     */
    void refuse(ActiveRequest &active, Refusal refusal);
    void abortResponse(ActiveRequest &active, const std::string &why);
    void expire(ActiveRequest &active);
    /** The active's attempt is over. */
    void releaseReplica(ActiveRequest &active);
    void erase(ActiveRequest &active);
    ActiveRequest *findByAttempt(uint64_t attempt);
    RetryBudget &budgetOf(const PoolId &pool);

    DispatchContext m_context;
    ServiceChooser m_services;
    std::map<uint64_t, std::unique_ptr<ActiveRequest>> m_active; ///< By exchange.
    std::unordered_map<uint64_t, uint64_t> m_exchangeByAttempt;
    std::set<WaitingKey> m_waiting; ///< The next to be sent first.
    std::map<PoolId, RetryBudget> m_budgets;
    std::map<PoolId, WaitEstimate> m_waitEstimates;
    std::map<LoadTarget, int64_t> m_wantedLoads; ///< With the requests that need them.
    std::set<LoadTarget> m_missingAdapters; ///< Adapters that replicas denied holding.
    uint64_t m_nextAttempt = 1;
    bool m_isAccepting = true;
    bool m_isAcceptingStreams = true;
    double m_retryRatio = 0;
    double m_retryAllowance = 0;
    Millis m_retryWindow {10000};
};

}
