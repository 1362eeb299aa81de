#pragma once

#include "core/units.h"
#include "policy/retrylimits.h"

#include <cstdint>
#include <deque>

namespace vanillaspar
{

/** What a retry budget holds and has counted, for logs. */
struct RetryBudgetState
{
    int64_t requests = 0; ///< In the last window.
    int64_t retries = 0; ///< In the last window.
    double level = 0; ///< Retries that may be sent at once.
    double capacity = 0; ///< Highest level at present.
    double allowance = 0; ///< This host's part of the fixed allowance, for a window.
};

/**
 * Limits the retries that this host sends to a pool in any window.
 *
 * A token bucket that starts empty. Each request earns half of the ratio, time earns half of the allowance. The bucket
 * holds at most the other half of the allowance plus half of the ratio for each request of the last window. So the
 * retries in a window are at most what the requests of that window and of the one before it allow, also if processes
 * end and start within it: a process that starts has nothing to spend until it has served requests.
 */
class RetryBudget
{
public:
    /** @param start since when the allowance is earned. */
    explicit RetryBudget(Millis start = Millis(0));

    /** Sets this host's limits. */
    void configure(const RetryLimits &limits, Millis now);
    /** Counts the first attempt of a request. */
    void onRequest(Millis now);
    /** Takes a retry from the budget if it holds one. @return whether the retry may be sent. */
    bool tryConsumeRetry(Millis now);
    /** @return what the budget holds now. */
    RetryBudgetState state(Millis now);

private:
    struct Interval
    {
        Millis start;
        int64_t requests = 0;
        int64_t retries = 0;
    };

    /** Adds what time has earned and drops what the capacity doesn't hold. */
    void refill(Millis now);
    Interval &current(Millis now);
    double capacity() const;

    RetryLimits m_limits;
    double m_level = 0;
    Millis m_refilledAt;
    std::deque<Interval> m_intervals; ///< Consecutive intervals of a tenth of the window, none older than it.
};

}
