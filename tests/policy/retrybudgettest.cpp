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
    std::deque<int64_t> retries;
    for (int64_t now = 0; now < 60000; now += 10) {
        // 30 s of load, then 30 s with few requests, whose retries must not use the budget earned before.
        if (now < 30000 || now % 1000 == 0) {
            budget.onRequest(Millis(now));
            requests.push_back(now);
        }
        while (budget.tryConsumeRetry(Millis(now))) {
            retries.push_back(now);
        }
        while (!requests.empty() && now - requests.front() > 20000) {
            requests.pop_front(); // the budget counts requests for up to 11 s, and this check for 20 s
        }
        while (!retries.empty() && now - retries.front() > 10000) {
            retries.pop_front();
        }
        EXPECT_LE(static_cast<double>(retries.size()), ratio * static_cast<double>(requests.size()) + allowance) << now;
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
