#pragma once

#include "core/units.h"

#include <cstdint>

namespace vanillaspar
{

/**
 * Estimates how long a request that can't be sent at once would wait, by Little's law.
 *
 * Answers the load of a shortage (engines that come empty, a store of weights that is slow): whoever joins a queue that
 * moves too slowly to reach it in time is better told so at once and comes back later.
 */
class WaitEstimate
{
public:
    /** A request that had waited was sent. */
    void onSent(Millis now);
    /** @param ahead requests that go first. @return how long they take at the recent rate. */
    Millis forQueue(int64_t ahead, Millis now);

private:
    void decay(Millis now);

    double m_sent = 0; ///< Decayed count of requests sent.
    Millis m_decayedAt {0};
};

}
