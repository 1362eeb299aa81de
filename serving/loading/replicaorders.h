#pragma once

#include "cluster/messages/fleet.h"
#include "core/ids.h"
#include "core/recentnames.h"
#include "core/units.h"
#include "serving/interfaces/orderport.h"
#include "serving/interfaces/servingconfig.h"
#include "serving/loading/pendingloads.h"
#include "serving/replicas/adapterusage.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace vanillaspar
{
class EventLog;
class TransferPacer;
}

namespace vanillaspar::serving
{

class AdapterVersions;
class ResidencyMap;

/** Input of ReplicaOrders::sendNextOrder(): what the choice of an order depends on besides the replica itself. */
struct OrderContext
{
    const Backend &backend;
    const EngineSpec &engine;
    const AdapterVersions &versions;
    HostId host; ///< This host, the issuer of the order.
    Epoch fencingNumber; ///< Of this host's entry in the owner table.
    bool mayLoadModel = false; ///< Whether the weight store's rate allows another base model now.
    bool mayTransfer = true; ///< Whether another adapter may be transferred from the weight store now.
};

/**
 * Chooses and sends the load and unload orders of one replica. Only the replica's owner does so.
 *
 * One order is in progress at a time, and each carries the number of orders that the replica must have accepted before
 * it. So an order that is delayed in the network and arrives late finds a different count and is not carried out. For
 * the same reason an order without a response is repeated soon: at most one of the two is carried out.
 *
 * A load counts as complete when the replica says so in response to a repeated order. Until then no request is routed
 * to the adapter.
 */
class ReplicaOrders
{
public:
    /**
     * @param replica the replica to order loads for.
     * @param port sends the orders.
     * @param log receives events of loads, unloads and failed orders.
     * @param transferPacer of loads from the weight store, shared by all replicas of this host.
     * @param firstSequence start of the residency reports' sequence numbers, higher than any that this host used in
     * earlier incarnations.
     * @param onIdle called when an order is done and the next one may be due.
     */
    ReplicaOrders(ReplicaId replica, OrderPort &port, EventLog &log, TransferPacer &transferPacer,
                  uint64_t firstSequence, std::function<void()> onIdle);

    /**
     * Discards what is known of the replica, when it has a new incarnation or had another owner in between. Pending
     * responses are ignored.
     */
    void reset();
    /** Records that a host needs an adapter in this replica. */
    void onAdapterRequest(const AdapterRequest &request, Millis now)
    {
        m_pendingLoads.onAdapterRequest(request, now);
    }
    /** Records which adapters a host is using in this replica. */
    void onUseReport(const HostId &host, const AdapterUseReport &report, Millis now);
    /**
     * Evaluates the loads that hosts have requested, and drops those that aren't requested any more.
     *
     * @param residency what is resident in the other replicas.
     * @param now current time.
     * @return the urgency of the most urgent load.
     */
    LoadUrgency evaluatePendingLoads(const ResidencyMap &residency, Millis now);
    /** @return whether no order is in progress and no delay is pending, so that sendNextOrder() may send one. */
    bool isDue(Millis now) const
    {
        return !m_isBusy && now >= m_nextOrderAt;
    }
    /**
     * Sends the next order or query, if one is due.
     *
     * @param context state outside the replica that the choice depends on.
     * @param now current time.
     * @return whether a base model was ordered.
     */
    bool sendNextOrder(const OrderContext &context, Millis now);

    /**
     * Creates a residency report if something changed or the last report is a second old.
     *
     * @param backend the replica as service discovery lists it.
     * @param owner this host.
     * @param now current time.
     * @return the report to send, or std::nullopt.
     */
    std::optional<ResidencyReport> takeReport(const Backend &backend, const HostId &owner, Millis now);
    /** @return the number of adapters that are being transferred from the weight store. */
    int64_t adapterLoads() const;
    /** @return whether a base model is being loaded. */
    bool isLoadingModel() const
    {
        return m_isLoadingModel;
    }

private:
    /** Adapters that a replica keeps in its own memory at least. */
    static constexpr size_t recentlyLoadedCount = 64;

    /** An adapter that occupies one of the replica's slots. */
    struct Slot
    {
        int64_t version = 0;
        Millis orderedAt; ///< When the load was ordered, or was first seen in a report.
        Millis usedAt; ///< Arrival of the last report that it is in use.
        bool isReady = false; ///< Whether the replica confirmed that the load is complete.
        bool isFromWeightStore = false;
        bool wasInMemory = false; ///< Whether the replica probably had a copy in its own memory when it was ordered.
        bool isUnloading = false; ///< An unload is ordered; the replica still finishes the requests that use it.
        Millis readyAt {0}; ///< When isReady became true.
        Millis checkAt {0}; ///< When to ask the replica whether the load is complete.
        Millis incompleteAt {0}; ///< Age of the load when the replica last stated that it isn't complete.
        bool isChecking = false; ///< Whether the replica has been asked and didn't respond yet.
    };
    using ResultHandler = std::function<void(OrderResult)>;

    /** An order that is sent, and again if the replica does not respond. */
    struct RepeatableOrder
    {
        bool isLoad = true;
        std::string weights;
        ResultHandler handler; ///< Gets the result once the replica responds or no repetition is left.
        int repeats = 0;
    };

    void sendOrder(const OrderContext &context, const RepeatableOrder &order, Millis now);
    /** Sends the unanswered order again. */
    void repeatOrder(const OrderContext &context, Millis now);
    /** Asks the replica whether a load is complete, by repeating its order. */
    void checkLoad(const OrderContext &context, const std::string &weights, Millis now);
    void checkDueLoads(const OrderContext &context, Millis now);
    void onLoadChecked(OrderResult result, const std::string &weights, Millis now);
    void logLoaded(const std::string &weights, const Slot &slot);
    /**
     * Marks a call as in progress until its handler is called.
     *
     * @return a wrapper of the handler that does nothing after a reset() or the destruction of this object.
     */
    template<class Answer>
    std::function<void(Answer)> markBusy(std::function<void(Answer)> handler);
    /** @return a wrapper of the handler that does nothing after a reset() or the destruction of this object. */
    template<class Answer>
    std::function<void(Answer)> bindToIncarnation(std::function<void(Answer)> handler);
    void fetchReport(const OrderContext &context, Millis now);
    void onReport(const std::optional<EngineResidency> &residency, Millis now);
    bool orderModel(const OrderContext &context, Millis now);
    void orderLoad(const OrderContext &context, const std::string &weights, Millis now);
    void orderUnload(const OrderContext &context, const std::string &weights, Millis now);
    void onLoadResult(OrderResult result, const std::string &weights, int64_t version, Millis now);
    void onUnloadResult(OrderResult result, const std::string &weights, Millis now);
    /**
     * Updates the order count and the time of the next order.
     *
     * @return whether the order was accepted or completed.
     */
    bool applyResult(OrderResult result, Millis now);
    /** Forgets the order count, so that the replica's report is fetched before the next order. */
    void forgetAcceptedOrders();
    /** @return the longest time until other hosts hear that a load is complete. */
    Millis timeToConfirmation(const Slot &slot, Millis now) const;
    /** @return whether an adapter's base model is resident. */
    bool isLoadable(const std::string &weights) const;
    /** @return the load to order next, or nullptr. */
    const std::string *choosePendingLoad(const OrderContext &context) const;
    const std::string *chooseOutdated(const OrderContext &context) const;
    const std::string *chooseEvictionCandidate(Millis now) const;
    int64_t loadsInProgress() const;

    ReplicaId m_replica;
    OrderPort &m_orderPort;
    EventLog &m_log;
    TransferPacer &m_transferPacer;
    std::optional<int64_t> m_acceptedOrders; ///< By the replica; unset while the replica's state is unknown.
    int64_t m_leastAcceptedOrders = 0; ///< A report with a lower count is older than the last known order.
    std::optional<RepeatableOrder> m_unanswered;
    std::map<std::string, Slot> m_slots;
    std::vector<std::string> m_models; ///< Resident base models.
    PendingLoads m_pendingLoads;
    AdapterUsage m_usage;
    RecentNames m_recentlyLoaded {recentlyLoadedCount}; ///< Adapters that load from the replica's own memory.
    /** Replaced by reset(), so that responses to earlier calls are recognized and ignored. */
    std::shared_ptr<bool> m_incarnation = std::make_shared<bool>(true);
    uint64_t m_sequence; ///< Of the last residency report.
    std::function<void()> m_onIdle;
    bool m_isBusy = false; ///< An order or a query is in progress.
    bool m_isStartingTransfer = false; ///< The order in progress loads an adapter from the weight store.
    bool m_isLoadingModel = false;
    bool m_isReportDue = false;
    Millis m_reportedAt {-1};
    Millis m_nextOrderAt {0};
};

}
