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
struct OrderTerms
{
    const Backend &backend;
    const EngineSpec &engine;
    const AdapterVersions &versions;
    HostId host;
    Epoch fence;
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
    void onAsk(const AdapterAsk &ask, Millis now);
    /** A host tells what it uses here. */
    void onUse(const HostId &host, const AdapterUseReport &report, Millis now);
    /** @return whether nothing is under way and no pause has to pass, so that step() may do something. */
    bool isDue(Millis now) const;
    /** Sends the next order, if one is due. @return whether a base model was ordered. */
    bool step(const OrderTerms &terms, Millis now);

    /** @return news to tell if something changed or the last news are old. */
    std::optional<ResidencyNews> takeNews(const Backend &backend, const HostId &owner, Millis now);
    /** @return loads that are on their way from the weight store. */
    int64_t slowLoads(Millis now) const;
    /** @return whether a base model is being loaded. */
    bool isLoadingModel() const
    {
        return m_isLoadingModel;
    }

private:
    struct Place
    {
        int64_t version = 0;
        Millis readyAt;
        Millis usedAt;
        bool isSlow = false;
        bool isLeaving = false; ///< Its unload waits for its runs.
    };
    struct Want
    {
        int64_t version = 0;
        int64_t waiting = 0;
        Millis since;
        Millis askedAt;
        bool wasMissing = false;
    };
    struct HostUse
    {
        std::map<std::string, int64_t> running;
        Millis at;
    };

    void sendOrder(const OrderTerms &terms, bool isLoad, const std::string &weights,
                   std::function<void(OrderResult)> handler);
    /** Marks a call as under way. @return the handler, which is dropped if this life ends before the answer. */
    template<class Answer>
    std::function<void(Answer)> whileBusy(std::function<void(Answer)> handler);
    void askReport(const OrderTerms &terms, Millis now);
    void onReport(const std::optional<EngineResidency> &residency, Millis now);
    bool orderModel(const OrderTerms &terms, Millis now);
    void orderLoad(const OrderTerms &terms, const std::string &weights, Millis now);
    void orderUnload(const OrderTerms &terms, const std::string &weights, Millis now);
    void onLoadResult(OrderResult result, const std::string &weights, int64_t version, Millis slowTime, Millis now);
    void onUnloadResult(OrderResult result, const std::string &weights, Millis now);
    /** @return whether the result leaves the replica's state known. */
    bool noteResult(OrderResult result, Millis now);
    const std::string *chooseWant(Millis now);
    const std::string *chooseOutdated(const OrderTerms &terms, Millis now) const;
    const std::string *chooseVictim(Millis now) const;
    int64_t runningOf(const std::string &weights, Millis now) const;
    int64_t inTransit(Millis now) const;
    void remember(const std::string &weights);
    bool isRemembered(const std::string &weights) const;

    ReplicaId m_replica;
    OrderPort &m_port;
    EventLog &m_log;
    std::optional<int64_t> m_count; ///< Orders that the replica has accepted; unknown while its state is.
    std::map<std::string, Place> m_places;
    std::vector<std::string> m_models;
    std::map<std::string, Want> m_wants;
    std::map<HostId, HostUse> m_uses;
    std::deque<std::string> m_remembered; ///< Adapters held before, which load from the replica's own memory.
    std::shared_ptr<bool> m_life = std::make_shared<bool>(true); ///< Answers to calls of an earlier one are dropped.
    uint64_t m_sequence;
    std::function<void()> m_onIdle;
    bool m_isBusy = false; ///< An order or a report is under way.
    bool m_isLoadingModel = false;
    bool m_hasNews = false;
    Millis m_newsAt {-1};
    Millis m_nextAt {0};
};

}
