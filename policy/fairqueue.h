#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <cstdint>
#include <list>
#include <map>

namespace vanillaspar
{

/**
 * Orders waiting requests by start-time fair queueing among teams, with costs in tokens.
 *
 * A team that sends much more than the others delays its own requests, not theirs.
 */
class FairQueue
{
public:
    struct Entry
    {
        uint64_t item = 0; ///< The caller's number for the request.
        TeamId team;
        AdapterRef adapter;
        double start = 0; ///< Virtual start time in tokens; the lowest goes first.
        Millis queuedAt;
    };

    /** Queueing discipline. */
    enum class Order
    {
        Fair, ///< Start-time fair queueing.
        FirstCome, ///< First come, first served; the baseline for comparisons.
    };

    explicit FairQueue(Order order = Order::Fair) : m_order(order)
    {
    }

    /**
     * Adds a request.
     *
     * @param item the caller's number for the request, unique in the queue.
     * @param team team whose virtual time advances.
     * @param adapter adapter that the request needs.
     * @param cost tokens that the request is expected to use.
     * @param isInteractive whether the request goes before batch requests of the same team.
     * @param now current time, stored in the entry.
     */
    void push(uint64_t item, const TeamId &team, const AdapterRef &adapter, Tokens cost, bool isInteractive,
              Millis now);
    /** Removes an entry that is dispatched and advances the virtual time to its start. */
    void dispatch(uint64_t item);
    /** Removes an entry that won't be dispatched. */
    void remove(uint64_t item);

    /** @return the waiting entries in dispatch order. */
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
    /** @return whether a request for @p adapter is waiting. */
    bool hasEntryFor(const AdapterRef &adapter) const;

private:
    std::list<Entry>::iterator find(uint64_t item);
    void erase(std::list<Entry>::iterator entry);

    Order m_order;
    std::list<Entry> m_entries;
    std::map<AdapterRef, uint32_t> m_entryCounts; ///< Waiting entries per adapter.
    std::map<TeamId, double> m_teamFinish; ///< Virtual finish time of each team's last request.
    double m_virtualTime = 0;
};

}
