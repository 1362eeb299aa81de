#pragma once

#include "core/units.h"

#include <cstdint>

namespace vanillaspar
{

/**
 * Estimates how long a request that can't be sent at once would wait, by Little's law.
 *
 * Answers the load of a shortage (engines that come empty, a weight store that is slow, demand that moves to other
 * adapters): a queue that is longer than what can be served in time makes every request in it late. Whoever would be
 * late is better told so at once and comes back later. The rate is measured only while somebody waits, and an idle
 * queue forgets it, so that the first requests after a calm are let in.
 */
class WaitEstimate
{
public:
    /** @param waiting requests that wait from now on. */
    void observe(int64_t waiting, Millis now);
    /** A request that had waited was sent. */
    void onSent();
    /** @param ahead requests that go first. @return how long they take at the recent rate. */
    Millis forQueue(int64_t ahead) const;

private:
    double m_sent = 0; ///< Decayed count of requests sent.
    double m_busy = 0; ///< Decayed milliseconds in which somebody waited.
    int64_t m_waiting = 0;
    Millis m_observedAt {0};
};

}
