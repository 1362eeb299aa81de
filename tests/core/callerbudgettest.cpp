#include "core/callerbudget.h"

#include <gtest/gtest.h>

namespace vanillaspar
{

namespace
{

constexpr size_t kibibyte = 1024;
constexpr Millis now(60000);

CallerShare unfinished(size_t bytes, Millis progressAt, uint32_t address = 1)
{
    CallerShare share;
    share.address = address;
    share.unfinished = bytes;
    share.progressAt = progressAt;
    return share;
}

CallerShare handled(size_t bytes)
{
    CallerShare share;
    share.handled = bytes;
    return share;
}

// By bytes alone, a slow but sound caller with a long body went before those that had stopped.
TEST(CallerBudget, ThoseWithoutProgressGoBeforeASlowCaller)
{
    CallerBudget budget(1000 * kibibyte);
    budget.update(1, unfinished(500 * kibibyte, now - Millis(900)));
    budget.update(2, unfinished(400 * kibibyte, now - Millis(9000), 2));
    EXPECT_FALSE(budget.findExcess(now));
    budget.update(3, unfinished(101 * kibibyte, now, 3));
    ASSERT_TRUE(budget.findExcess(now));
    EXPECT_EQ(budget.findExcess(now)->connection, 2U);
    EXPECT_EQ(budget.findExcess(now)->stalledFor, Millis(9000));
    budget.erase(2);
    EXPECT_FALSE(budget.findExcess(now));
    EXPECT_EQ(budget.total(), 601 * kibibyte);
}

// One address could take the whole budget from all others.
TEST(CallerBudget, AnAddressKeepsAPartAtMost)
{
    CallerBudget budget(1000 * kibibyte);
    budget.update(1, unfinished(10 * kibibyte, now - Millis(9000), 2));
    for (uint64_t connection = 2; connection < 9; ++connection) {
        budget.update(connection, unfinished(100 * kibibyte, now, 1));
    }
    EXPECT_FALSE(budget.findExcess(now));
    budget.update(9, unfinished(101 * kibibyte, now, 1));
    ASSERT_TRUE(budget.findExcess(now));
    EXPECT_EQ(budget.findExcess(now)->connection, 9U);
    EXPECT_EQ(budget.findExcess(now)->reason, CallerExcess::Reason::Address);
}

// Large requests that wait filled the budget, and nothing else was admitted.
TEST(CallerBudget, LargeRequestsLeaveRoomForSmallOnes)
{
    CallerBudget budget(1000 * kibibyte);
    budget.update(1, handled(700 * kibibyte));
    EXPECT_FALSE(budget.admits(100 * kibibyte));
    EXPECT_TRUE(budget.admits(50 * kibibyte));
    budget.update(1, handled(980 * kibibyte));
    EXPECT_FALSE(budget.admits(50 * kibibyte));
    budget.update(2, unfinished(100 * kibibyte, now));
    ASSERT_TRUE(budget.findExcess(now));
    EXPECT_EQ(budget.findExcess(now)->connection, 2U) << "what is handled stays";
    budget.erase(2);
    EXPECT_FALSE(budget.findExcess(now));
}

// A budget smaller than the configured largest request would refuse it always.
TEST(CallerBudget, TheLargestRequestFitsWhateverTheHost)
{
    CallerBudget budget;
    budget.setLimits(CallerBudget::bytesForHost(1), 64UL * 1024 * kibibyte);
    EXPECT_TRUE(budget.admits(2 * 64UL * 1024 * kibibyte));
}

}

}
