#include "policy/teamquota.h"

#include "core/random.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <vector>

namespace vanillaspar
{

namespace
{

constexpr double rate = 100;
constexpr double burst = 200;

TEST(TeamQuota, StartsEmptyAndFillsAtItsRate)
{
    TeamQuota quota;
    quota.configure(rate, burst, Millis(0));
    EXPECT_EQ(quota.level(Millis(0)), 0);
    EXPECT_DOUBLE_EQ(quota.level(Millis(500)), 50);
    EXPECT_DOUBLE_EQ(quota.level(Millis(10'000)), burst);
}

TEST(TeamQuota, RefusesMoreThanItHolds)
{
    TeamQuota quota;
    quota.configure(rate, burst, Millis(0));
    EXPECT_EQ(quota.charge(51, Millis(500)), 0U);
    EXPECT_NE(quota.charge(50, Millis(500)), 0U);
    EXPECT_EQ(quota.charge(-1, Millis(500)), 0U);
}

TEST(TeamQuota, SettlingMintsNothingAboveTheBurst)
{
    TeamQuota quota;
    quota.configure(rate, burst, Millis(0));
    const uint64_t charge = quota.charge(200, Millis(2000));
    ASSERT_NE(charge, 0U);
    // The bucket is full again at 4000 ms, so it has no headroom for a refund.
    EXPECT_NE(quota.charge(200, Millis(4000)), 0U);
    quota.settle(charge, 200, Millis(4000));
    EXPECT_DOUBLE_EQ(quota.level(Millis(4000)), 0);
}

TEST(TeamQuota, HandedOverTokensCountUntilTheyMustBeUsed)
{
    TeamQuota quota;
    quota.configure(rate, burst, Millis(0));
    ASSERT_NE(quota.transfer(200, Millis(2000)), 0U);
    EXPECT_DOUBLE_EQ(quota.level(Millis(2200)), 0);
    EXPECT_GT(quota.level(Millis(2300)), 0);
}

TEST(TeamQuota, ATransferIsSettledOnce)
{
    TeamQuota quota;
    quota.configure(rate, burst, Millis(0));
    const uint64_t transfer = quota.transfer(100, Millis(2000));
    quota.settle(transfer, 100, Millis(2010));
    const double level = quota.level(Millis(2010));
    quota.settle(transfer, 100, Millis(2010));
    EXPECT_DOUBLE_EQ(quota.level(Millis(2010)), level);
}

/** Charges at random and checks the used tokens with a reference bucket that starts full and must not go below 0. */
TEST(TeamQuota, NoIntervalGetsMoreThanRateAndBurst)
{
    for (uint64_t seed = 1; seed <= 200; ++seed) {
        Random random(seed);
        TeamQuota quota;
        quota.configure(rate, burst, Millis(0));
        struct Open
        {
            uint64_t charge;
            double amount;
            Millis at;
        };
        std::vector<Open> open;
        std::vector<std::pair<Millis, double>> used;
        for (Millis now(0); now < Millis(60'000); now += Millis(static_cast<int64_t>(random.below(400)))) {
            const auto amount = static_cast<double>(random.below(150));
            const uint64_t charge = random.below(4) == 0 ? quota.transfer(amount, now) : quota.charge(amount, now);
            if (charge != 0) {
                open.push_back({charge, amount, now});
            }
            if (!open.empty() && random.below(2) == 0) {
                const Open ended = open.front();
                open.erase(open.begin());
                const double unused = ended.amount * random.unit();
                quota.settle(ended.charge, unused, now);
                used.emplace_back(ended.at, ended.amount - unused);
            }
        }
        std::sort(used.begin(), used.end());
        double level = burst;
        Millis last(0);
        for (const auto &[at, tokens] : used) {
            level = std::min(burst, level + rate * static_cast<double>((at - last).value) / 1000) - tokens;
            last = at;
            ASSERT_GE(level, -1e-6) << "seed " << seed;
        }
    }
}

}

}
