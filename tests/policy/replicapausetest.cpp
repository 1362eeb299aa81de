#include "policy/replicapause.h"

#include <gtest/gtest.h>

namespace vanillaspar
{

namespace
{

TEST(ReplicaPause, LastsForItsTimeAndIsNeverShortened)
{
    ReplicaPause pause;
    EXPECT_FALSE(pause.isActive(Millis(1000)));
    pause.extend(Millis(2000), Millis(1000));
    EXPECT_TRUE(pause.isActive(Millis(2999)));
    pause.extend(Millis(100), Millis(1500)); // the answer to a request that was on its way
    EXPECT_TRUE(pause.isActive(Millis(2999)));
    EXPECT_FALSE(pause.isActive(Millis(3000)));
    pause.extend(Millis(0), Millis(4000));
    pause.extend(Millis(-500), Millis(4000));
    EXPECT_FALSE(pause.isActive(Millis(4000)));
    pause.extend(Millis(INT64_MAX), Millis(5000));
    EXPECT_TRUE(pause.isActive(Millis(3600000)));
}

TEST(ReplicaPause, ARequestWaitsOnlyForAPauseThatEndsInTimeForIt)
{
    EXPECT_TRUE(placeDuringPause(Millis(1500), Millis(2000), 0.5, Millis(1000)).waits);
    const PausedPlacement late = placeDuringPause(Millis(2000), Millis(2000), 0.5, Millis(1000));
    EXPECT_FALSE(late.waits);
    EXPECT_GE(late.retryAfter, Millis(1000)) << "there is no room before the pause ends";
}

TEST(ReplicaPause, RefusedCallersReturnOneAfterAnother)
{
    const PausedPlacement first = placeDuringPause(Millis(11000), Millis(2000), 0, Millis(1000));
    const PausedPlacement last = placeDuringPause(Millis(11000), Millis(2000), 0.99, Millis(1000));
    EXPECT_EQ(first.retryAfter, Millis(10000));
    EXPECT_GE(last.retryAfter - first.retryAfter, Millis(4000));
}

}

}
