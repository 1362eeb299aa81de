#pragma once

#include "core/ids.h"
#include "core/refusal.h"
#include "core/units.h"
#include "net/httpupstream.h"
#include "policy/retrybudget.h"
#include "policy/waitestimate.h"
#include "serving/attemptport.h"
#include "serving/flow.h"
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
class CallerPort;
class EngineChooser;
class RequestLog;
class ResidencyMap;
struct BackendState;

/** What the dispatcher works with. */
struct DispatchContext
{
    const Clock &clock;
    CallerPort &callers;
    AttemptPort &attempts;
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
    void setRetryBounds(double ratio, double allowance, Millis window);
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
        return m_flows.size();
    }
    size_t waitingCount() const
    {
        return m_waiting.size();
    }
    /** @return this host's running requests by replica and adapter. */
    std::map<ReplicaId, std::map<std::string, AdapterUse>> adapterUses() const;
    /** @return adapters that requests have needed since the last call, and where. */
    std::vector<AdapterRequest> takeAsks();

private:
    using LoadPlace = std::pair<ReplicaId, std::string>; ///< A replica and an adapter.
    using WaitingKey = std::pair<int, uint64_t>; ///< Priority, then the exchange, which tells the order of arrival.
    enum class Placement
    {
        Sent,
        Waits,
        Ended, ///< It was refused.
    };

    /** Tells the log and the caller. @param flow nullptr if the request was not admitted. */
    void reject(const ClientRequest &request, const Flow *flow, const Refusal &refusal);
    Placement place(Flow &flow);
    void send(Flow &flow, BackendState &backend);
    void settle(Flow &flow);
    /** @return waiting requests that go before this one. */
    int64_t aheadOf(const Flow &flow) const;
    static WaitingKey waitingKeyOf(const Flow &flow);
    void tryElsewhere(Flow &flow, bool countsAsRepeat, RefusalCode code, const std::string &why);
    void onRejected(Flow &flow);
    /** The replica may have run the request and failed it. @return whether the route allows another replica. */
    bool noteRun(Flow &flow);
    /** The attempt ended after the start of its answer was passed on. */
    void onBrokenOff(Flow &flow);
    void onLost(Flow &flow);
    void complete(Flow &flow);
    /** @param refusal says "not run" of the present state; an earlier attempt that may have run is taken into account.
     */
    void refuse(Flow &flow, Refusal refusal);
    void breakOff(Flow &flow, const std::string &why);
    void endOverdue(Flow &flow);
    /** The flow's attempt is over. */
    void releaseReplica(Flow &flow);
    void erase(Flow &flow);
    Flow *findByAttempt(uint64_t attempt);
    RetryBudget &budgetOf(const PoolId &pool);

    DispatchContext m_context;
    ServiceChooser m_services;
    std::map<uint64_t, std::unique_ptr<Flow>> m_flows; ///< By exchange.
    std::unordered_map<uint64_t, uint64_t> m_exchangeByAttempt;
    std::set<WaitingKey> m_waiting; ///< The next to be sent first.
    std::map<PoolId, RetryBudget> m_budgets;
    std::map<PoolId, WaitEstimate> m_waitEstimates;
    std::map<LoadPlace, int64_t> m_wantedLoads; ///< With the requests that need them.
    std::set<LoadPlace> m_missing; ///< Adapters that replicas denied holding.
    uint64_t m_nextAttempt = 1;
    bool m_isAccepting = true;
    bool m_isAcceptingStreams = true;
    double m_retryRatio = 0;
    double m_retryAllowance = 0;
    Millis m_retryWindow {10000};
};

}
