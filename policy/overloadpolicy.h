#pragma once

#include "core/units.h"

#include <cstdint>
#include <vector>

namespace vanillaspar
{

/** A request that waits for a replica, as far as the order of sending depends on it. */
struct WaitingWork
{
    uint64_t id = 0; ///< Ascends by arrival.
    int level = 0; ///< Urgency by OverloadPolicy::levelOf(); 0 is the most urgent.
    Millis lateAfter; ///< A response that starts later is late.
    Millis serviceTime; ///< Expected time from its sending to the first event or, for plain services, the response.
    bool isOwed = false; ///< Whether its kind or its team is served below the floor.
    bool hasBegun = false; ///< Whether a part of its response was forwarded, so that it isn't refused early.
};

/**
 * Decides which waiting requests can still be in time, and in which order they are sent.
 *
 * A queue that is served by arrival while it is longer than the objective makes every request in it late. Requests that
 * can be in time therefore go first, by urgency and then by the time at which they become late; the others get only
 * capacity that is left over.
 */
class OverloadPolicy
{
public:
    /**
     * @param priority of the request; 0 is the most urgent.
     * @param objective of the request.
     * @param shortest objective of any route of the pool.
     * @param slack time for which the request can still wait without being late.
     * @return the urgency level. Work with a long objective that can wait for longer than the shortest objective yields
     *     to other work of its priority.
     */
    static int levelOf(int priority, Millis objective, Millis shortest, Millis slack);
    /** @return whether a request that is sent after @p wait can be in time. */
    static bool canBeInTime(const WaitingWork &work, Millis wait, Millis now);
    /** Sorts requests of any pools into the order in which they are to be sent. */
    static void sort(std::vector<WaitingWork> &works, Millis now);
    /** @return whether @p first is to be sent before @p second. */
    static bool isBefore(const WaitingWork &first, const WaitingWork &second, Millis now);
    /**
     * @param drainTime in which the present queue is expected to be sent.
     * @param spread a fraction from 0 to 1 that differs between requests.
     * @return when a refused caller should return.
     */
    static Millis retryAfter(Millis drainTime, double spread);
};

}
