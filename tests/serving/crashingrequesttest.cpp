#include "policy/requestfingerprint.h"
#include "tests/fakes/servingfleet.h"

#include <gtest/gtest.h>

namespace vanillaspar::serving
{

namespace
{

constexpr Millis contact(3000); // after which all hosts know of the crashes
constexpr int64_t allowedArrivals = 3; // after the third crash and that time
constexpr size_t knownCrashes = 3;
constexpr double requestRate = 7; // the same request, times a second

/** @return the number of parts or requests other than the crashing one that were suspected. */
int64_t wrongSuspects(const ServingFleet &fleet)
{
    int64_t wrong = 0;
    for (const auto &line : fleet.log()) {
        wrong += line.first == EventCode::PromptPartSuspected && line.second.rfind("request-", 0) != 0 ? 1 : 0;
    }
    return wrong;
}

class CrashingRequest : public testing::TestWithParam<double>
{
};

// One request, sent again and again by several callers, ended 47 replicas; only its parts were judged, and by other
// requests.
TEST_P(CrashingRequest, TheSameRequestIsNotSentToReplicaAfterReplica)
{
    ServingFleet fleet({.isSameRequest = true, .target = "/r/"}, 1);
    fleet.play(Millis(5000));
    fleet.setCrashingRate(GetParam());
    fleet.play(Millis(15000));
    EXPECT_LE(fleet.lateArrivals(contact, knownCrashes), allowedArrivals) << fleet.crashCount() << " replicas ended";
    EXPECT_EQ(wrongSuspects(fleet), 0);
}

INSTANTIATE_TEST_SUITE_P(Rates, CrashingRequest, testing::Values(0.5, 2.0, 7.0, 20.0, 60.0));

TEST(CrashingRequestFleet, RequestsWithTheSamePartsAreServedAsBefore)
{
    for (uint64_t seed = 1; seed <= 2; ++seed) {
        ServingFleet fleet({.isSameRequest = true}, seed);
        const Millis start = fleet.now();
        fleet.play(Millis(5000));
        const double before = fleet.begunShare(start, fleet.now());
        fleet.setCrashingRate(requestRate);
        fleet.play(contact + contact);
        const Millis settled = fleet.now();
        fleet.play(Millis(8000));
        EXPECT_GE(fleet.begunShare(settled, fleet.now()), 0.97 * before) << "seed " << seed;
    }
}

TEST(CrashingRequestFleet, CallersAreToldAtOnceThatNothingRan)
{
    ServingFleet fleet({.isSameRequest = true}, 1);
    fleet.play(Millis(5000));
    fleet.setCrashingRate(requestRate);
    fleet.play(Millis(8000));
    const std::vector<Refusal> refusals = fleet.crashingRefusals(fleet.now() - Millis(1000));
    ASSERT_FALSE(refusals.empty());
    for (const Refusal &refusal : refusals) {
        EXPECT_EQ(refusal.code, RefusalCode::PromptBlocked);
        EXPECT_EQ(refusal.runState, RunState::NotRun);
    }
}

TEST(CrashingRequestFleet, APopularSoundRequestIsNotBlamedWhileReplicasCrashForOtherReasons)
{
    for (uint64_t seed = 1; seed <= 3; ++seed) {
        Random random(seed);
        ServingFleet fleet({.popularShare = 0.2, .target = seed % 2 == 0 ? "/s/" : "/r/"}, seed);
        for (int i = 0; i < 40; ++i) {
            fleet.killEngine(random.below(fleet.engineCount()));
            fleet.play(Millis(static_cast<int64_t>(50 + random.below(600))));
        }
        for (const auto &line : fleet.log()) {
            EXPECT_NE(line.first, EventCode::PromptPartSuspected) << "seed " << seed << ": " << line.second;
        }
    }
}

TEST(RequestFingerprint, TellsRequestsApartByTheirPartsAndTheirAdapter)
{
    const std::vector<PromptPartId> parts {PromptPartId("a"), PromptPartId("b")};
    const PromptPartId fingerprint = requestFingerprint("m/a1", parts);
    EXPECT_EQ(fingerprint, requestFingerprint("m/a1", parts));
    EXPECT_NE(fingerprint, requestFingerprint("m/a2", parts));
    EXPECT_NE(fingerprint, requestFingerprint("m/a1", {PromptPartId("ab")}));
    EXPECT_NE(fingerprint, requestFingerprint("m/a1", {PromptPartId("b"), PromptPartId("a")}));
    EXPECT_TRUE(isRequestFingerprint(fingerprint));
    EXPECT_FALSE(isRequestFingerprint(parts.front()));
    EXPECT_TRUE(requestFingerprint("m/a1", {}).isEmpty());
}

}

}
