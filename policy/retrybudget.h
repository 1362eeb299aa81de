#pragma once

#include "core/units.h"

#include <cstdint>
#include <deque>

namespace vanillaspar
{

/**
 * This host's part of the retries that a pool may get in any window.
 *
 * The bound for all hosts is a ratio of the requests in the window and a fixed allowance, which is split evenly.
 */
class RetryBudget
{
public:
    /**
     * @param ratio retries for each request in a window.
     * @param allowance retries beyond these, for this host.
     */
    void configure(double ratio, double allowance, Millis window);
    /** Counts the first sending of a request. */
    void onRequest(Millis now);
    /** Counts a repeat if the window has room for it. @return whether it may be sent. */
    bool tryConsumeRetry(Millis now);

private:
    struct Interval
    {
        Millis start;
        int64_t requests = 0;
        int64_t retries = 0;
    };

    Interval &current(Millis now);

    double m_ratio = 0;
    double m_allowance = 0;
    Millis m_window {10000};
    std::deque<Interval> m_intervals; ///< A tenth of the window each.
};

}
