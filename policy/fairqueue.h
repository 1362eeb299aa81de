#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <cstdint>
#include <list>
#include <map>

namespace vanillaspar
{

/**
 * Orders waiting requests by start-time fair queueing among teams, counted in tokens.
 *
 * A team that sends several times what the others send moves its own requests back, not theirs.
 */
class FairQueue
{
public:
    struct Entry
    {
        uint64_t item = 0;
        TeamId team;
        AdapterRef adapter;
        double start = 0; ///< Virtual start time; the least goes first.
        Millis queuedAt;
    };

    /** How an entry is put in order: by team, or first come first served as the baseline. */
    enum class Order
    {
        Fair,
        FirstCome,
    };

    explicit FairQueue(Order order = Order::Fair) : m_order(order)
    {
    }

    /**
     * @param item the caller's number for the request.
     * @param cost tokens that the request is likely to take.
     * @param isInteractive whether it goes before batch requests of the same team.
     */
    void push(uint64_t item, const TeamId &team, const AdapterRef &adapter, Tokens cost, bool isInteractive,
              Millis now);
    /** Removes an entry that is dispatched and moves the virtual time to it. */
    void dispatch(uint64_t item);
    /** Removes an entry that won't run. */
    void remove(uint64_t item);

    /** @return the waiting entries, the one to go first at the front. */
    const std::list<Entry> &entries() const
    {
        return m_entries;
    }
    bool isEmpty() const
    {
        return m_entries.empty();
    }
    size_t size() const
    {
        return m_entries.size();
    }
    /** @return whether a request for @p adapter waits. */
    bool hasEntryFor(const AdapterRef &adapter) const;

private:
    std::list<Entry>::iterator find(uint64_t item);
    void erase(std::list<Entry>::iterator entry);

    Order m_order;
    std::list<Entry> m_entries;
    std::map<AdapterRef, uint32_t> m_entryCounts;
    std::map<TeamId, double> m_teamFinish;
    double m_virtualTime = 0;
};

}
