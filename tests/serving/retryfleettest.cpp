#include "tests/fakes/retryfleet.h"
#include "core/random.h"

#include <gtest/gtest.h>

namespace vanillaspar::serving
{

namespace
{

constexpr size_t hosts = 6;
constexpr double requestRate = 144; // per second
constexpr uint64_t seeds = 5;
constexpr RetryLimits limits {0.2, 52, Millis(10000)};

TEST(RetryFleet, HostsThatRunKeepTheFleetWithinItsRetryBudget)
{
    for (uint64_t seed = 1; seed <= seeds; ++seed) {
        RetryFleet fleet(hosts, limits, seed);
        fleet.play(Millis(25000), requestRate);
        EXPECT_LE(fleet.worstExcess(), 0) << "seed " << seed;
        EXPECT_GT(fleet.retryCount(), 0U);
    }
}

TEST(RetryFleet, AHostThatRestartsDoesNotSpendTheRetryBudgetTwice)
{
    for (uint64_t seed = 1; seed <= seeds; ++seed) {
        RetryFleet fleet(hosts, limits, seed);
        fleet.play(Millis(12000), requestRate);
        for (size_t host = 0; host < hosts; ++host) {
            fleet.restart(host);
            fleet.play(Millis(1000), requestRate);
        }
        fleet.play(Millis(6000), requestRate);
        EXPECT_LE(fleet.worstExcess(), 0) << "seed " << seed;
    }
}

TEST(RetryFleet, AFleetThatRestartsAtOnceDoesNotSpendTheRetryBudgetTwice)
{
    for (uint64_t seed = 1; seed <= seeds; ++seed) {
        RetryFleet fleet(hosts, limits, seed);
        // Calm, then replicas reject for a few seconds around each of three restarts of all hosts.
        fleet.setRejectedShare(0);
        fleet.play(Millis(12000), requestRate);
        for (int kill = 0; kill < 3; ++kill) {
            fleet.setRejectedShare(1);
            fleet.play(Millis(1500), requestRate);
            fleet.restartAll();
            fleet.play(Millis(1500), requestRate);
        }
        EXPECT_LE(fleet.worstExcess(), 0) << "seed " << seed;
    }
}

TEST(RetryFleet, NoSeriesOfRestartsRejectionsAndSurgesSpendsTheRetryBudgetTwice)
{
    constexpr uint64_t series = 40;
    constexpr int phases = 25;
    for (uint64_t seed = 1; seed <= series; ++seed) {
        Random random(seed);
        const size_t size = 3 + random.below(10);
        RetryFleet fleet(size, limits, seed);
        for (int phase = 0; phase < phases; ++phase) {
            fleet.setRejectedShare(random.below(2) == 0 ? 0 : random.unit());
            const Millis duration(static_cast<int64_t>(200 + random.below(3000)));
            fleet.play(duration, requestRate * (0.5 + 2 * random.unit()));
            for (uint64_t restarts = random.below(3); restarts > 0; --restarts) {
                if (random.below(3) == 0) {
                    fleet.restartAll();
                } else {
                    fleet.restart(random.below(size));
                }
            }
        }
        EXPECT_LE(fleet.worstExcess(), 0) << "seed " << seed;
    }
}

TEST(RetryFleet, AFewRejectionsAreRetriedAlsoWhileHostsRestart)
{
    constexpr double rejectedShare = 0.05;
    RetryFleet fleet(hosts, limits, 1);
    fleet.setRejectedShare(rejectedShare);
    fleet.play(Millis(10000), requestRate);
    for (size_t host = 0; host < hosts; ++host) {
        fleet.restart(host);
        fleet.play(Millis(2000), requestRate);
    }
    const double sent = 22 * requestRate;
    EXPECT_GE(static_cast<double>(fleet.servedCount()), 0.99 * sent);
}

}

}
