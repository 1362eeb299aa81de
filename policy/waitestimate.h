#pragma once

#include "core/units.h"

#include <cstdint>

namespace vanillaspar
{

/**
 * Estimates by Little's law how long a request that can't be sent at once will wait.
 *
 * Used while capacity is short: replicas that restart without loaded adapters, a slow weight store, or demand that
 * moves to other adapters. A queue that is longer than what can be served in time makes every request in it late, so a
 * request that would be late is better refused at once and retried later. The rate is averaged only over the time in
 * which the queue is backlogged, that is while a request waits for longer than a load takes; the averages decay at all
 * times.
 */
class WaitEstimate
{
public:
    /**
     * Updates the averages up to @p now.
     *
     * @param isBacklogged whether a request waits for longer than usual, from now until the next call.
     * @param now current time.
     */
    void observe(bool isBacklogged, Millis now);
    /** Counts a request that had waited and was sent. */
    void onSent();
    /**
     * @param ahead number of requests that are sent before.
     * @return how long these take at the recent rate.
     */
    Millis expectedWait(int64_t ahead) const;

private:
    double m_sent = 0; ///< Decayed count of sent requests that had waited.
    double m_backloggedTime = 0; ///< Decayed milliseconds in which the queue was backlogged.
    bool m_isBacklogged = false;
    Millis m_observedAt {0};
};

}
