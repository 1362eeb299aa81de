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
 * late is better told so at once and comes back later. The rate is measured only while the queue is behind, that is
 * while somebody waits for longer than a load takes; a calm forgets it.
 */
class WaitEstimate
{
public:
    /** @param isBacklogged whether somebody waits for longer than usual from now on. */
    void observe(bool isBacklogged, Millis now);
    /** A request that had waited was sent. */
    void onSent();
    /** @param ahead requests that go first. @return how long they take at the recent rate. */
    Millis expectedWait(int64_t ahead) const;

private:
    double m_sent = 0; ///< Decayed count of requests sent.
    double m_backloggedTime = 0; ///< Decayed milliseconds in which the queue was behind.
    bool m_isBacklogged = false;
    Millis m_observedAt {0};
};

}
