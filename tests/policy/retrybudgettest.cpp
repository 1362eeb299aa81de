#include "policy/retrybudget.h"
#include "policy/poolretrybudgets.h"

#include <deque>
#include <gtest/gtest.h>

namespace vanillaspar
{

namespace
{

constexpr Millis window(10000);

TEST(RetryBudget, NoWindowGetsMoreThanItsPart)
{
    constexpr double ratio = 0.2;
    constexpr double allowance = 8;
    RetryBudget budget;
    budget.configure({ratio, allowance, window}, Millis(0));
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
            requests.pop_front(); // requests of the window and of the one before it count
        }
        while (!retries.empty() && now - retries.front() > 10000) {
            retries.pop_front();
        }
        EXPECT_LE(static_cast<double>(retries.size()), ratio * static_cast<double>(requests.size()) + allowance) << now;
    }
}

TEST(RetryBudget, SavedRetriesAndEarnedOnesStayWithinTheLimit)
{
    constexpr double ratio = 0.2;
    constexpr double allowance = 8;
    RetryBudget budget;
    budget.configure({ratio, allowance, window}, Millis(0));
    // Ten seconds without a retry, then as many as the budget allows.
    int64_t retries = 0;
    for (int64_t now = 0; now < 20000; now += 10) {
        budget.onRequest(Millis(now));
        while (now >= 10000 && budget.tryConsumeRetry(Millis(now))) {
            ++retries;
        }
    }
    EXPECT_LE(static_cast<double>(retries), ratio * 1000 + allowance);
    EXPECT_GE(static_cast<double>(retries), 0.9 * (ratio * 1000 + allowance));
}

TEST(RetryBudget, AQuietHostMayRepeatAFew)
{
    RetryBudget budget;
    budget.configure({0.2, 6, window}, Millis(0));
    for (int64_t now = 10000; now <= 50000; now += 10000) {
        int retries = 0;
        while (budget.tryConsumeRetry(Millis(now))) {
            ++retries;
        }
        EXPECT_EQ(retries, 3) << "half of the allowance at once, at " << now;
    }
}

TEST(RetryBudget, AProcessThatHasJustStartedHasNothingToSpend)
{
    RetryBudget budget(Millis(5000));
    budget.configure({0.25, 1000, window}, Millis(5000));
    EXPECT_FALSE(budget.tryConsumeRetry(Millis(5000)));
    for (int i = 0; i < 7; ++i) {
        budget.onRequest(Millis(5000));
    }
    EXPECT_FALSE(budget.tryConsumeRetry(Millis(5000)));
    budget.onRequest(Millis(5000));
    EXPECT_TRUE(budget.tryConsumeRetry(Millis(5000))) << "eight requests earn one retry";
    EXPECT_FALSE(budget.tryConsumeRetry(Millis(5000)));
}

TEST(RetryBudget, TheAllowanceIsEarnedFromTheStartAndNotFromTheFirstRequest)
{
    PoolRetryBudgets budgets;
    budgets.configure({0.2, 6, window}, Millis(0));
    budgets.configure({0.2, 6, window}, Millis(9000));
    EXPECT_TRUE(budgets.of(PoolId("desk"), Millis(10000)).tryConsumeRetry(Millis(10000)));
}

TEST(RetryLimits, SharesOfAllHostsAddUpToLessThanTheWhole)
{
    const RetryLimits whole {0.2, 52, window};
    for (const int64_t hosts : {1, 6, 350}) {
        const RetryLimits share = whole.shareOf(hosts);
        EXPECT_LT(share.allowance * static_cast<double>(hosts), whole.allowance);
        EXPECT_LT(share.ratio, whole.ratio);
    }
    EXPECT_EQ(whole.shareOf(0).allowance, whole.shareOf(1).allowance);
}

}

}
