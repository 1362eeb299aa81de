#pragma once

#include "core/units.h"

#include <cstdint>

namespace vanillaspar
{

/**
 * This host's share of a pool's free slots while they are scarce.
 *
 * All hosts see the same free slots, some hundred milliseconds late. If each filled them, replicas would get several
 * requests for each slot, and these would become late in the replicas' queues. So a host takes part of the free slots
 * in proportion to its demand, and those in which its own requests have ended, which others don't know of yet.
 */
class SlotShare
{
public:
    /**
     * Starts a round of 100 ms.
     *
     * @param freeSlots that this host knows of.
     * @param ownDemand requests that this host has sent lately or that wait here.
     * @param allDemand the same of all hosts, this one included.
     * @param reportAge mean age of the other hosts' reports.
     */
    void beginRound(int64_t freeSlots, int64_t ownDemand, int64_t allDemand, Millis reportAge);
    /** A request of this host has ended. */
    void onEnded();
    /** A request is sent. */
    void onSent();
    /** @return whether this host may send a request now. */
    bool isOpen() const
    {
        return m_slots >= 1;
    }

private:
    double m_slots = 0;
};

}
