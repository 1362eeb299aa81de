#pragma once

#include "core/units.h"

#include <cstdint>
#include <deque>
#include <set>

namespace vanillaspar
{

/**
 * How often requests end with their replica before their answer has progressed, over the last seconds.
 *
 * The answers that progress are the control group for the evidence against parts of prompts.
 */
class CrashRate
{
public:
    /** An answer that began at @p begunAt has progressed. */
    void onProgressed(Millis begunAt, Millis now);
    /** A replica ended before the answer had progressed. */
    void onEnded(Millis now);
    /** @return the probability that a request ends with its replica; near a half while few requests were seen. */
    double probability(Millis now);
    /** @return since when requests are counted. */
    static Millis observedSince(Millis now);
    /** @return the time after which ten answers have begun that progressed; long ago if there were fewer. */
    Millis controlledUntil() const;

private:
    struct Interval
    {
        Millis start;
        int64_t progressed = 0;
        int64_t ended = 0;
    };

    Interval &current(Millis now);

    std::deque<Interval> m_intervals; ///< In order of time, none older than the window.
    std::multiset<Millis> m_latestBegins; ///< Of the ten answers that began last and progressed.
};

}
