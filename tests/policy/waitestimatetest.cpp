#include "policy/waitestimate.h"

#include <deque>
#include <gtest/gtest.h>

namespace vanillaspar
{

namespace
{

/** What callers got in a run. */
struct Outcome
{
    int64_t inTime = 0;
    int64_t late = 0;
    int64_t refused = 0;
    int64_t longestHeld = 0; ///< Milliseconds until a refusal.
};

/** Plays a queue that sends on @p perSecond of @p arrivals a second; callers leave after @p patience. */
Outcome play(bool hasAdmission, int64_t arrivals, int64_t perSecond)
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
            if (hasAdmission && estimate.expectedWait(static_cast<int64_t>(queue.size())) > Millis(limit)) {
                ++outcome.refused;
            } else {
                queue.push_back(now);
            }
        }
        while (!queue.empty() && now - queue.front() > patience) {
            queue.pop_front();
            ++outcome.refused;
            outcome.longestHeld = patience;
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
    const Outcome firstCome = play(false, 50, 10);
    const Outcome bounded = play(true, 50, 10);
    // The baseline serves as many, but late, and tells the others after five seconds.
    EXPECT_GT(bounded.inTime, 3 * firstCome.inTime);
    EXPECT_GE(bounded.inTime + bounded.late, (firstCome.inTime + firstCome.late) * 9 / 10);
    EXPECT_EQ(bounded.longestHeld, 0);
}

TEST(WaitEstimate, EnoughCapacityRefusesNobody)
{
    const Outcome bounded = play(true, 20, 25);
    EXPECT_EQ(bounded.refused, 0);
    EXPECT_EQ(bounded.late, 0);
}

TEST(WaitEstimate, ACalmForgetsTheShortage)
{
    WaitEstimate estimate;
    for (int64_t now = 0; now < 5000; now += 10) {
        estimate.observe(true, Millis(now)); // nothing is sent on
    }
    EXPECT_GT(estimate.expectedWait(5), Millis(600));
    estimate.observe(false, Millis(5000));
    estimate.observe(false, Millis(15000));
    EXPECT_LT(estimate.expectedWait(5), Millis(600));
}

}

}
