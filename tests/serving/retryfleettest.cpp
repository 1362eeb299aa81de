#include "tests/fakes/retryfleet.h"

#include <gtest/gtest.h>

namespace vanillaspar::serving
{

namespace
{

constexpr size_t hosts = 6;
constexpr double requestRate = 144; // per second
constexpr uint64_t seeds = 5;

TEST(RetryFleet, HostsThatRunKeepTheFleetWithinItsRetryBudget)
{
    for (uint64_t seed = 1; seed <= seeds; ++seed) {
        RetryFleet fleet(hosts, seed);
        fleet.play(Millis(25000), requestRate);
        EXPECT_LE(fleet.worstExcess({}), 0) << "seed " << seed;
        EXPECT_GT(fleet.retryCount(), 0U);
    }
}

TEST(RetryFleet, AHostThatRestartsDoesNotSpendTheRetryBudgetTwice)
{
    for (uint64_t seed = 1; seed <= seeds; ++seed) {
        RetryFleet fleet(hosts, seed);
        fleet.play(Millis(12000), requestRate);
        for (size_t host = 0; host < hosts; ++host) {
            fleet.restart(host);
            fleet.play(Millis(1000), requestRate);
        }
        fleet.play(Millis(6000), requestRate);
        EXPECT_LE(fleet.worstExcess({}), 0) << "seed " << seed;
    }
}

TEST(RetryFleet, AFleetThatRestartsAtOnceDoesNotSpendTheRetryBudgetTwice)
{
    for (uint64_t seed = 1; seed <= seeds; ++seed) {
        RetryFleet fleet(hosts, seed);
        // Calm, then replicas reject for a few seconds around each of three restarts of all hosts.
        fleet.setRejectedShare(0);
        fleet.play(Millis(12000), requestRate);
        for (int kill = 0; kill < 3; ++kill) {
            fleet.setRejectedShare(1);
            fleet.play(Millis(1500), requestRate);
            fleet.restartAll();
            fleet.play(Millis(1500), requestRate);
        }
        EXPECT_LE(fleet.worstExcess({}), 0) << "seed " << seed;
    }
}

}

}
