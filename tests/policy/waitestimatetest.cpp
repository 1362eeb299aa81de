#include "policy/waitestimate.h"

#include <deque>
#include <gtest/gtest.h>

namespace vanillaspar
{

namespace
{

/** Results of a simulation, in requests. */
struct Outcome
{
    int64_t inTime = 0;
    int64_t late = 0;
    int64_t refused = 0;
    int64_t longestWait = 0; ///< Milliseconds that a request waited before it was given up.
};

/**
 * Simulates a queue whose callers give up after 5 s.
 *
 * @param isLimited whether requests are refused at once by the estimate.
 * @param arrivals requests that arrive per second.
 * @param perSecond requests that can be sent per second.
 */
Outcome simulate(bool isLimited, int64_t arrivals, int64_t perSecond)
{
    constexpr int64_t objective = 800;
    constexpr int64_t limit = 600; // three quarters of the objective
    constexpr int64_t patience = 5000;
    constexpr int64_t duration = 30000;
    WaitEstimate estimate;
    std::deque<int64_t> queue;
    Outcome outcome;
    for (int64_t now = 0; now < duration; ++now) {
        estimate.observe(!queue.empty() && now - queue.front() > 300, Millis(now));
        if (now % (1000 / arrivals) == 0) {
            if (isLimited && estimate.expectedWait(static_cast<int64_t>(queue.size())) > Millis(limit)) {
                ++outcome.refused;
            } else {
                queue.push_back(now);
            }
        }
        while (!queue.empty() && now - queue.front() > patience) {
            queue.pop_front();
            ++outcome.refused;
            outcome.longestWait = patience;
        }
        if (now % (1000 / perSecond) == 0 && !queue.empty()) {
            (now - queue.front() <= objective ? outcome.inTime : outcome.late) += 1;
            queue.pop_front();
            estimate.onSent();
        }
    }
    return outcome;
}

TEST(WaitEstimate, AShortageServesItsShareInTimeInsteadOfAllLate)
{
    const Outcome unlimited = simulate(false, 50, 10);
    const Outcome limited = simulate(true, 50, 10);
    // Without the limit as many requests are served, but late, and the others give up after 5 s.
    EXPECT_GT(limited.inTime, 3 * unlimited.inTime);
    EXPECT_GE(limited.inTime + limited.late, (unlimited.inTime + unlimited.late) * 9 / 10);
    EXPECT_EQ(limited.longestWait, 0);
}

TEST(WaitEstimate, EnoughCapacityRefusesNobody)
{
    const Outcome limited = simulate(true, 20, 25);
    EXPECT_EQ(limited.refused, 0);
    EXPECT_EQ(limited.late, 0);
}

TEST(WaitEstimate, ACalmForgetsTheShortage)
{
    WaitEstimate estimate;
    for (int64_t now = 0; now < 5000; now += 10) {
        estimate.observe(true, Millis(now)); // nothing is sent
    }
    EXPECT_GT(estimate.expectedWait(5), Millis(600));
    estimate.observe(false, Millis(5000));
    estimate.observe(false, Millis(15000));
    EXPECT_LT(estimate.expectedWait(5), Millis(600));
}

}

}
