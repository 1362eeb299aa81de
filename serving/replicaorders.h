#pragma once

#include "cluster/messages/fleet.h"
#include "core/ids.h"
#include "core/units.h"
#include "serving/orderport.h"
#include "serving/servingconfig.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace vanillaspar
{
class EventLog;
}

namespace vanillaspar::serving
{

class AdapterVersions;

/** What the orders of one replica depend on at one moment. */
struct OrderContext
{
    const Backend &backend;
    const EngineSpec &engine;
    const AdapterVersions &versions;
    HostId host;
    Epoch fencingNumber;
    bool mayLoadModel = false; ///< Whether the weight store's rate has room for a base model.
    int64_t fleetLoads = 0; ///< Adapters on their way from the weight store to any replica, as far as is known.
    int64_t fullSpeedLoads = 1; ///< So many of them don't slow each other down.
};

/**
 * Orders the loads and unloads of one replica, as the only host that does.
 *
 * One order is under way at a time, and each names how many the replica should have accepted before it. So an order
 * that was lost on its way and arrives late finds another count and is not carried out.
 */
class ReplicaOrders
{
public:
    /**
     * @param firstSequence start of the news' numbers, higher than any of this host's earlier lives.
     * @param onIdle called when an order is over and the next may be due.
     */
    ReplicaOrders(ReplicaId replica, OrderPort &port, EventLog &log, uint64_t firstSequence,
                  std::function<void()> onIdle);

    /** Starts over: another life of the replica, or another owner before. */
    void reset();
    /** A host needs an adapter here. */
    void onAdapterRequest(const AdapterRequest &request, Millis now);
    /** A host tells what it uses here. */
    void onUseReport(const HostId &host, const AdapterUseReport &report, Millis now);
    /** @return whether nothing is under way and no pause has to pass, so that sendNextOrder() may do something. */
    bool isDue(Millis now) const;
    /** Sends the next order, if one is due. @return whether a base model was ordered. */
    bool sendNextOrder(const OrderContext &context, Millis now);

    /** @return news to tell if something changed or the last news are old. */
    std::optional<ResidencyReport> takeReport(const Backend &backend, const HostId &owner, Millis now);
    /** @return loads that are on their way from the weight store. */
    int64_t slowLoads(Millis now) const;
    /** @return whether a base model is being loaded. */
    bool isLoadingModel() const
    {
        return m_isLoadingModel;
    }

private:
    struct Slot
    {
        int64_t version = 0;
        Millis readyAt;
        Millis usedAt;
        bool isFromWeightStore = false;
        bool isUnloading = false; ///< Its unload waits for its runs.
    };
    struct PendingLoad
    {
        int64_t version = 0;
        int64_t waiting = 0;
        Millis since;
        Millis requestedAt;
        bool wasMissing = false;
    };
    struct HostUsage
    {
        std::map<std::string, int64_t> running;
        Millis at;
    };

    void sendOrder(const OrderContext &context, bool isLoad, const std::string &weights,
                   std::function<void(OrderResult)> handler);
    /** Marks a call as under way. @return the handler, which is dropped if this life ends before the answer. */
    template<class Answer>
    std::function<void(Answer)> markBusy(std::function<void(Answer)> handler);
    void fetchReport(const OrderContext &context, Millis now);
    void onReport(const std::optional<Holdings> &holdings, Millis now);
    bool orderModel(const OrderContext &context, Millis now);
    void orderLoad(const OrderContext &context, const std::string &weights, Millis now);
    void orderUnload(const OrderContext &context, const std::string &weights, Millis now);
    void onLoadResult(OrderResult result, const std::string &weights, int64_t version, Millis slowTime, Millis now);
    void onUnloadResult(OrderResult result, const std::string &weights, Millis now);
    /** @return whether the result leaves the replica's state known. */
    bool applyResult(OrderResult result, Millis now);
    const std::string *choosePendingLoad(Millis now);
    const std::string *chooseOutdated(const OrderContext &context, Millis now) const;
    const std::string *chooseEvictionCandidate(Millis now) const;
    int64_t runningOf(const std::string &weights, Millis now) const;
    int64_t loadsInProgress(Millis now) const;
    void addRecentlyLoaded(const std::string &weights);
    bool isRecentlyLoaded(const std::string &weights) const;

    ReplicaId m_replica;
    OrderPort &m_orderPort;
    EventLog &m_log;
    std::optional<int64_t> m_acceptedOrders; ///< Orders that the replica has accepted; unknown while its state is.
    std::map<std::string, Slot> m_slots;
    std::vector<std::string> m_models;
    std::map<std::string, PendingLoad> m_pendingLoads;
    std::map<HostId, HostUsage> m_usages;
    std::deque<std::string> m_recentlyLoaded; ///< Adapters held before, which load from the replica's own memory.
    std::shared_ptr<bool> m_incarnation
        = std::make_shared<bool>(true); ///< Answers to calls of an earlier one are dropped.
    uint64_t m_sequence;
    std::function<void()> m_onIdle;
    bool m_isBusy = false; ///< An order or a report is under way.
    bool m_isLoadingModel = false;
    bool m_isReportDue = false;
    Millis m_reportedAt {-1};
    Millis m_nextOrderAt {0};
};

}
