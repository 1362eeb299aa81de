#include "core/random.h"
#include "policy/fairqueue.h"
#include "policy/loadfairness.h"
#include "policy/placement.h"
#include "policy/popularity.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <set>

namespace vanillaspar
{

namespace
{

const TeamId busyTeam("busy");
const TeamId idleTeam("idle");
const AdapterRef adapter("a@1");

TEST(FairQueue, AQuietTeamGoesBeforeALoudTeamsBacklog)
{
    FairQueue queue;
    for (uint64_t i = 0; i < 20; ++i) {
        queue.push(i, busyTeam, adapter, Tokens(100), true, Millis(0));
    }
    queue.dispatch(0);
    queue.push(100, idleTeam, adapter, Tokens(100), true, Millis(1));
    EXPECT_LE(std::distance(queue.entries().begin(),
                            std::find_if(queue.entries().begin(), queue.entries().end(),
                                         [](const FairQueue::Entry &entry) {
                                             return entry.item == 100;
                                         })),
              1);
}

TEST(FairQueue, FirstComeKeepsTheOrderOfArrival)
{
    FairQueue queue(FairQueue::Order::FirstCome);
    queue.push(1, busyTeam, adapter, Tokens(1000), true, Millis(0));
    queue.push(2, busyTeam, adapter, Tokens(1000), true, Millis(0));
    queue.push(3, idleTeam, adapter, Tokens(1), true, Millis(0));
    EXPECT_EQ(queue.entries().back().item, 3U);
}

TEST(FairQueue, KnowsWhichAdaptersAreWaitedFor)
{
    FairQueue queue;
    queue.push(1, busyTeam, adapter, Tokens(1), true, Millis(0));
    EXPECT_TRUE(queue.hasEntryFor(adapter));
    queue.remove(1);
    EXPECT_FALSE(queue.hasEntryFor(adapter));
}

TEST(LoadFairness, ATeamWithFewLoadsGoesFirst)
{
    LoadFairness fairness;
    for (int i = 0; i < 5; ++i) {
        fairness.onLoadGranted(busyTeam, Millis(0));
    }
    fairness.onLoadRequested(busyTeam, Millis(10));
    EXPECT_TRUE(fairness.mayLoad(busyTeam, Millis(10)));
    fairness.onLoadRequested(idleTeam, Millis(20));
    EXPECT_FALSE(fairness.mayLoad(busyTeam, Millis(20)));
    EXPECT_TRUE(fairness.mayLoad(idleTeam, Millis(20)));
    EXPECT_TRUE(fairness.mayLoad(busyTeam, Millis(500))); // the other team's request has expired
}

TEST(Placement, AnAdapterStaysWhereItIsUntilItsReplicaIsOverTheBound)
{
    const std::unique_ptr<Placement> placement = makeBoundedLoadRendezvous();
    Random random(1);
    std::vector<Candidate> candidates;
    for (int i = 0; i < 10; ++i) {
        candidates.push_back({ReplicaId("r" + std::to_string(i)), 1, 8, false});
    }
    const size_t preferred = placement->choose(adapter, 0, candidates, random);
    EXPECT_EQ(placement->choose(adapter, 0, candidates, random), preferred);
    candidates[preferred].outstanding = 40;
    EXPECT_NE(placement->choose(adapter, 0, candidates, random), preferred);
}

TEST(Placement, LosingAReplicaMovesOnlyItsAdapters)
{
    const std::unique_ptr<Placement> placement = makePlainRendezvous();
    Random random(1);
    std::vector<Candidate> all;
    for (int i = 0; i < 8; ++i) {
        all.push_back({ReplicaId("r" + std::to_string(i)), 0, 8, false});
    }
    const std::vector<Candidate> fewer(all.begin(), all.end() - 1);
    for (int i = 0; i < 200; ++i) {
        const AdapterRef ref("x" + std::to_string(i) + "@1");
        const size_t before = placement->choose(ref, 0, all, random);
        if (before < fewer.size()) {
            EXPECT_EQ(placement->choose(ref, 0, fewer, random), before);
        }
    }
}

TEST(Popularity, OldUsesCountForLess)
{
    Popularity popularity;
    popularity.recordUse(adapter, Millis(0));
    EXPECT_DOUBLE_EQ(popularity.decayedUses(adapter, Millis(0)), 1);
    EXPECT_DOUBLE_EQ(popularity.decayedUses(adapter, Millis(120'000)), 0.5);
}

}

}
