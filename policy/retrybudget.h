#pragma once

#include "core/units.h"

#include <cstdint>
#include <deque>

namespace vanillaspar
{

/** What a retry budget has counted in the current window, for logs. */
struct RetryBudgetState
{
    int64_t requests = 0;
    int64_t retries = 0;
    double limit = 0; ///< Retries that the window allows.
    double allowance = 0; ///< This host's part of the fixed allowance, included in the limit.
};

/**
 * Limits the retries that this host sends to a pool in any window.
 *
 * The limit for all hosts is a ratio of the requests in the window plus a fixed allowance. The allowance is split
 * evenly among the hosts.
 */
class RetryBudget
{
public:
    /**
     * Sets the limit.
     *
     * @param ratio retries per request in a window.
     * @param allowance additional retries in a window, for this host.
     * @param window length of the window.
     */
    void configure(double ratio, double allowance, Millis window);
    /** Counts the first attempt of a request. */
    void onRequest(Millis now);
    /** Counts a retry if the budget allows it. @return whether the retry may be sent. */
    bool tryConsumeRetry(Millis now);
    /** @return what was counted in the window that ends now. */
    RetryBudgetState state(Millis now) const;

private:
    struct Interval
    {
        Millis start;
        int64_t requests = 0;
        int64_t retries = 0;
    };

    Millis intervalLength() const;
    Interval &current(Millis now);

    double m_ratio = 0;
    double m_allowance = 0;
    Millis m_window {10000};
    std::deque<Interval> m_intervals; ///< Consecutive intervals of a tenth of the window.
};

}
