#include "policy/relativelatency.h"

#include "policy/latencybaseline.h"
#include "policy/latencyevidence.h"

#include <cmath>
#include <gtest/gtest.h>
#include <vector>

namespace vanillaspar
{

namespace
{

/** Lets each replica take a multiple of the expected time, once in every 10 ms. */
void observe(std::vector<LatencyEvidence> &replicas, const std::vector<double> &ratios, Millis from, Millis to)
{
    for (Millis now = from; now < to; now += Millis(10)) {
        for (size_t i = 0; i < replicas.size(); ++i) {
            replicas[i].observe(ratios[i], 1, now);
        }
    }
}

// Guards against estimates that follow a change too late to be of use, or that take a slow server for a fast one.
TEST(RelativeLatency, FollowsAChangeWithinSixHundredMilliseconds)
{
    std::vector<LatencyEvidence> replicas(4);
    observe(replicas, {1, 1, 1, 1}, Millis(0), Millis(3000));
    EXPECT_NEAR(RelativeLatency::compare(replicas, Millis(3000)).factors[0], 1, 0.05);
    observe(replicas, {2.5, 1, 1, 1}, Millis(3000), Millis(3600));
    EXPECT_GT(RelativeLatency::compare(replicas, Millis(3600)).factors[0], 2);
    observe(replicas, {1, 1, 1, 1}, Millis(3600), Millis(4200));
    EXPECT_LT(RelativeLatency::compare(replicas, Millis(4200)).factors[0], 1.3);
}

// Guards against a drift of all replicas when all are slow at once.
TEST(RelativeLatency, IsUnchangedWhenAllAreSlow)
{
    std::vector<LatencyEvidence> replicas(4);
    observe(replicas, {3, 3, 3, 3}, Millis(0), Millis(2000));
    const RelativeLatency relative = RelativeLatency::compare(replicas, Millis(2000));
    for (const double factor : relative.factors) {
        EXPECT_NEAR(factor, 1, 0.01);
    }
    EXPECT_NEAR(relative.level, 3, 0.1);
}

// Guards against a replica that is left for ever because nothing speaks for its recovery.
TEST(RelativeLatency, ForgetsOldEvidence)
{
    std::vector<LatencyEvidence> replicas(3);
    observe(replicas, {20, 1, 1}, Millis(0), Millis(1000));
    EXPECT_GT(RelativeLatency::compare(replicas, Millis(1000)).factors[0], 4);
    EXPECT_NEAR(RelativeLatency::compare(replicas, Millis(2100)).factors[0], 1, 0.01);
}

// Guards against sums of several hosts that differ from what one host would have observed.
TEST(LatencyEvidence, AddsUpOverHosts)
{
    LatencyEvidence first;
    LatencyEvidence second;
    first.observe(1, 1, Millis(100));
    second.observe(4, 1, Millis(100));
    first.add(second, Millis(100));
    EXPECT_NEAR(first.weight(Millis(100)), 2, 1e-9);
    EXPECT_NEAR(std::exp(first.logRatio()), 2, 1e-9);
    const LatencyEvidence old(1, 5, Millis(0), Millis(1500));
    EXPECT_EQ(old.weight(Millis(1500)), 0);
}

// Guards against an expectation that a few slow requests move, and against trust in a single request.
TEST(LatencyBaseline, CoversManyRequests)
{
    LatencyBaseline baseline;
    EXPECT_EQ(baseline.expected(), 0);
    baseline.observe(30);
    EXPECT_LT(baseline.confidence(), 0.3);
    for (int i = 0; i < 60; ++i) {
        baseline.observe(30);
    }
    baseline.observe(300);
    EXPECT_NEAR(baseline.expected(), 30, 2);
    EXPECT_GT(baseline.confidence(), 0.9);
}

}

}
