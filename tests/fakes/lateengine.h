#pragma once

#include "core/random.h"
#include "serving/interfaces/orderport.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace vanillaspar::serving
{

/**
 * An engine in virtual time whose orders get lost, are carried out late or lose their answer, and whose reports are
 * old.
 *
 * It crashes when it is ordered to load more adapters than it has slots.
 */
class LateEngine : public OrderPort
{
public:
    /** @param random draws what happens to each order and report. */
    LateEngine(Random &random, int64_t adapterSlots);

    void sendOrder(const Backend &backend, const EngineOrder &order, std::function<void(OrderResult)> handler) override;
    void fetchReport(const Backend &backend, std::function<void(std::optional<EngineResidency>)> handler) override;

    /** Lets everything happen that is due. */
    void advance(Millis now);
    /** From now on all orders and reports are answered; late ones are still carried out. */
    void endTrouble()
    {
        m_isTroubled = false;
    }
    /** Announces a version of an adapter, which the next load fetches. */
    void setNewestVersion(const std::string &weights, int64_t version)
    {
        m_newest[weights] = version;
    }
    bool hasCrashed() const
    {
        return m_hasCrashed;
    }
    /** @return the order that was carried out last, for messages. */
    const std::string &lastOrder() const
    {
        return m_lastOrder;
    }
    bool isReady(const std::string &weights) const;
    int64_t loadCount() const
    {
        return m_loadCount;
    }
    int64_t orderCount() const
    {
        return m_orderCount;
    }
    int64_t reportCount() const
    {
        return m_reportCount;
    }

private:
    struct Slot
    {
        int64_t version = 0;
        Millis readyAt;
    };

    void schedule(Millis delay, std::function<void()> action);
    OrderResult carryOut(const EngineOrder &order);
    OrderResult load(const std::string &weights);
    OrderResult unload(const std::string &weights);
    EngineResidency residency() const;

    Random &m_random;
    int64_t m_adapterSlots;
    bool m_checksCountFirst; ///< Whether an order that already holds conflicts too if its count differs.
    bool m_isTroubled = true;
    bool m_hasCrashed = false;
    Millis m_now;
    int64_t m_acceptedOrders = 0;
    std::map<std::string, Slot> m_slots;
    std::map<std::string, int64_t> m_newest;
    std::multimap<Millis, std::function<void()>> m_due;
    std::deque<std::pair<Millis, EngineResidency>> m_history; ///< What reports may still tell.
    std::string m_lastOrder;
    int64_t m_loadCount = 0;
    int64_t m_orderCount = 0;
    int64_t m_reportCount = 0;
};

}
