#include "policy/overloadpolicy.h"

#include "policy/pooldemand.h"
#include "policy/servicefloor.h"
#include "policy/slotshare.h"

#include <gtest/gtest.h>

namespace vanillaspar
{

namespace
{

constexpr Millis now(10000);

WaitingWork makeWork(uint64_t id, int level, int64_t lateIn)
{
    return {id, level, now + Millis(lateIn), Millis(50), false, false};
}

std::vector<uint64_t> sorted(std::vector<WaitingWork> works)
{
    OverloadPolicy::sort(works, now);
    std::vector<uint64_t> ids;
    ids.reserve(works.size());
    for (const WaitingWork &work : works) {
        ids.push_back(work.id);
    }
    return ids;
}

// Guards against a queue served by arrival, in which every request is late once it is longer than the objective.
TEST(OverloadPolicy, RequestsThatCanBeInTimeGoFirstByUrgencyThenByLateness)
{
    EXPECT_EQ(sorted({makeWork(1, 0, 40), makeWork(2, 4, 300), makeWork(3, 0, 400), makeWork(4, 0, 200)}),
              (std::vector<uint64_t> {4, 3, 2, 1}));
}

// Guards against a kind below its floor that waits behind all more urgent ones, and against a resumed stream that
// counts as late.
TEST(OverloadPolicy, OwedRequestsGoFirstAndBegunStreamsAreNotLate)
{
    WaitingWork owed = makeWork(1, 4, 10);
    owed.isOwed = true;
    WaitingWork begun = makeWork(2, 0, 10);
    begun.hasBegun = true;
    EXPECT_EQ(sorted({makeWork(3, 0, 400), begun, owed}), (std::vector<uint64_t> {1, 2, 3}));
}

// Guards against long-objective work that competes with short objectives of its priority although it can wait, and
// against one that yields until it is late.
TEST(OverloadPolicy, LongObjectivesYieldWhileTheyCanWait)
{
    const Millis shortest(500);
    EXPECT_GT(OverloadPolicy::levelOf(1, Millis(2000), shortest, Millis(1500)),
              OverloadPolicy::levelOf(1, shortest, shortest, Millis(400)));
    EXPECT_EQ(OverloadPolicy::levelOf(1, Millis(2000), shortest, Millis(300)),
              OverloadPolicy::levelOf(1, shortest, shortest, Millis(400)));
    EXPECT_LT(OverloadPolicy::levelOf(1, Millis(2000), shortest, Millis(1500)),
              OverloadPolicy::levelOf(2, shortest, shortest, Millis(400)));
}

// Guards against callers that return together, or before the queue has been sent.
TEST(OverloadPolicy, RetryAfterCoversTheQueueAndIsSpread)
{
    EXPECT_GE(OverloadPolicy::retryAfter(Millis(800), 0), Millis(800));
    EXPECT_GE(OverloadPolicy::retryAfter(Millis(800), 0.9) - OverloadPolicy::retryAfter(Millis(800), 0.1), Millis(400));
    EXPECT_GT(OverloadPolicy::retryAfter(Millis(0), 0), Millis(0));
}

// Guards against less urgent requests that are sent although more urgent ones of other hosts wait, and against holding
// requests back while there is capacity for all.
TEST(PoolDemand, TheThresholdIsTheFirstLevelThatDoesNotFit)
{
    PoolDemand demand;
    demand.waiting = {{0, 5}, {2, 10}, {4, 3}};
    demand.sends = 8; // a quarter of which counts
    EXPECT_EQ(demand.threshold(20), PoolDemand::noThreshold);
    EXPECT_EQ(demand.threshold(10), 2);
    EXPECT_EQ(demand.threshold(0), 0);
}

// Guards against decisions by the demand of a host that has fallen silent.
TEST(DemandReports, OldReportsCountForNothing)
{
    DemandReports reports;
    PoolDemands demands;
    demands[7].waiting[0] = 4;
    reports.set(HostId("a"), demands, now);
    reports.set(HostId("b"), demands, now + Millis(200));
    EXPECT_EQ(reports.sum(now + Millis(200))[7].waitingCount(), 8);
    EXPECT_EQ(reports.sum(now + Millis(200), HostId("b"))[7].waitingCount(), 4);
    EXPECT_EQ(reports.sum(now + Millis(400))[7].waitingCount(), 4);
    EXPECT_EQ(reports.sumOf({HostId("a"), HostId("b")}, now + Millis(900))[7].waitingCount(), 0);
}

// Guards against a kind that gets nothing while others do, and against a floor that is still owed after the shortage.
TEST(ServiceFloor, AKindThatGetsLessThanAQuarterIsOwedRequests)
{
    ServiceFloor floor;
    for (int i = 0; i < 100; ++i) {
        const Millis time = now + Millis(i * 10);
        floor.onPoolArrived(time);
        floor.onArrived(i % 4 == 0 ? "batch" : "urgent", time);
        if (i % 4 != 0) {
            floor.onPoolSent(time);
            floor.onSent("urgent", time);
        }
    }
    const Millis end = now + Millis(1000);
    EXPECT_LT(floor.deficit("urgent", end), 0);
    EXPECT_GT(floor.deficit("batch", end), 0.25 * 0.75 * 20);
    EXPECT_LT(floor.deficit("batch", end), 0.4 * 0.75 * 25);
    EXPECT_LT(floor.deficit("batch", end + Millis(30000)), 0.1);
}

// Guards against every host filling all free slots that all of them see, and against a slot of the host's own that
// stays empty until the others' reports arrive.
TEST(SlotShare, AHostTakesItsShareAndItsOwnEndedSlots)
{
    SlotShare share;
    share.beginRound(40, 10, 100, Millis(100)); // a tenth of 40 slots, over two rounds
    int64_t sent = 0;
    for (; share.isOpen(); ++sent) {
        share.onSent();
    }
    EXPECT_EQ(sent, 2);
    share.onEnded();
    EXPECT_TRUE(share.isOpen());
    SlotShare alone;
    alone.beginRound(3, 10, 10, Millis(0));
    for (sent = 0; alone.isOpen(); ++sent) {
        alone.onSent();
    }
    EXPECT_EQ(sent, 3);
}

}

}
