#include "policy/retrybudget.h"

#include <deque>
#include <gtest/gtest.h>

namespace vanillaspar
{

namespace
{

TEST(RetryBudget, NoWindowGetsMoreThanItsPart)
{
    constexpr double ratio = 0.2;
    constexpr double allowance = 8;
    RetryBudget budget;
    budget.configure(ratio, allowance, Millis(10000));
    std::deque<int64_t> requests;
    std::deque<int64_t> repeats;
    for (int64_t now = 0; now < 60000; now += 10) {
        // A busy half minute, then a calm one: the calm must not live on the busy one's allowance.
        if (now < 30000 || now % 1000 == 0) {
            budget.onRequest(Millis(now));
            requests.push_back(now);
        }
        while (budget.tryConsumeRetry(Millis(now))) {
            repeats.push_back(now);
        }
        while (!requests.empty() && now - requests.front() > 20000) {
            requests.pop_front(); // requests count in the window or the one before it
        }
        while (!repeats.empty() && now - repeats.front() > 10000) {
            repeats.pop_front();
        }
        EXPECT_LE(static_cast<double>(repeats.size()), ratio * static_cast<double>(requests.size()) + allowance) << now;
    }
}

TEST(RetryBudget, AQuietHostMayRepeatAFew)
{
    RetryBudget budget;
    budget.configure(0.2, 3, Millis(10000));
    EXPECT_TRUE(budget.tryConsumeRetry(Millis(1)));
    EXPECT_TRUE(budget.tryConsumeRetry(Millis(1)));
    EXPECT_TRUE(budget.tryConsumeRetry(Millis(1)));
    EXPECT_FALSE(budget.tryConsumeRetry(Millis(1)));
    EXPECT_TRUE(budget.tryConsumeRetry(Millis(20000)));
}

}

}
