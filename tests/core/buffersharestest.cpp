#include "core/buffershares.h"

#include <gtest/gtest.h>

namespace vanillaspar
{

namespace
{

TEST(BufferShares, ARequestBeyondItsOwnLimitIsTheExcess)
{
    BufferShares shares(100, 1000);
    shares.update(1, 100);
    shares.update(2, 50);
    EXPECT_FALSE(shares.findExcess());
    shares.update(2, 101);
    EXPECT_EQ(shares.findExcess(), 2U);
    shares.update(2, 0);
    EXPECT_FALSE(shares.findExcess());
    EXPECT_EQ(shares.total(), 100U);
}

TEST(BufferShares, BeyondTheTotalTheLargestIsTheExcess)
{
    BufferShares shares(100, 250);
    shares.update(1, 90);
    shares.update(2, 95);
    shares.update(3, 65);
    EXPECT_FALSE(shares.findExcess());
    shares.update(3, 66);
    EXPECT_EQ(shares.findExcess(), 2U);
    shares.update(2, 0);
    EXPECT_FALSE(shares.findExcess());
}

}

}
