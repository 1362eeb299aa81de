#include "policy/firsteventestimate.h"
#include "core/random.h"
#include "policy/replicapace.h"
#include "policy/urgencymix.h"

#include <gtest/gtest.h>

namespace vanillaspar
{

namespace
{

class FirstEventEstimateTest : public testing::TestWithParam<double>
{
};

TEST_P(FirstEventEstimateTest, LearnsTheSpeedOfTheEngines)
{
    const double tokensPerMilli = GetParam();
    Random random(7);
    FirstEventEstimate estimate;
    for (int request = 0; request < 300; ++request) {
        const double tokens = 200 + static_cast<double>(random.below(6000));
        const double noise = static_cast<double>(random.below(20));
        estimate.observe(tokens, Millis(static_cast<int64_t>(30 + tokens / tokensPerMilli + noise)));
    }
    for (const double tokens : {1000.0, 4000.0, 9000.0}) {
        const double expected = 40 + tokens / tokensPerMilli;
        EXPECT_NEAR(static_cast<double>(estimate.expected(tokens).value), expected, expected * 0.15);
    }
}

INSTANTIATE_TEST_SUITE_P(Engines, FirstEventEstimateTest, testing::Values(10.0, 20.0, 40.0, 80.0));

TEST(FirstEventEstimate, IsFiniteForEqualPrompts)
{
    FirstEventEstimate estimate;
    for (int request = 0; request < 1000; ++request) {
        estimate.observe(1000, Millis(100));
    }
    EXPECT_NEAR(static_cast<double>(estimate.expected(1000).value), 100, 15);
    EXPECT_GT(estimate.expected(100000), estimate.expected(1000));
}

TEST(ReplicaPace, AReplicaThatStopsAnsweringIsSlowBeforeItAnswers)
{
    ReplicaPace pace;
    pace.onFirstEvent(1, Millis(1000));
    pace.onWaiting(6, Millis(1400));
    EXPECT_GE(pace.factor(Millis(1400)), 6);
}

TEST(ReplicaPace, ReturnsToNormalWithoutObservations)
{
    ReplicaPace pace;
    pace.onWaiting(20, Millis(1000));
    EXPECT_GT(pace.factor(Millis(2000)), 10);
    EXPECT_LT(pace.factor(Millis(20000)), 1.1);
}

TEST(ReplicaPace, AFastReplicaCountsAsFast)
{
    ReplicaPace pace;
    for (int request = 0; request < 50; ++request) {
        pace.onFirstEvent(0.7, Millis(1000 + request * 10));
    }
    EXPECT_NEAR(pace.factor(Millis(1500)), 0.7, 0.02);
}

TEST(UrgencyMix, TellsThePartThatIsAtLeastAsUrgent)
{
    UrgencyMix mix;
    EXPECT_EQ(mix.fractionUpTo(0), 1) << "unknown, so all of it may be ahead";
    for (int request = 0; request < 500; ++request) {
        mix.add(0, 500);
        mix.add(1, 1500);
    }
    EXPECT_NEAR(mix.fractionUpTo(0), 0.25, 0.03);
    EXPECT_EQ(mix.fractionUpTo(1), 1);
}

}

}
