#include "core/recentnames.h"

#include <gtest/gtest.h>

namespace vanillaspar
{

namespace
{

TEST(RecentNames, DropsTheOldest)
{
    RecentNames names(2);
    names.add("a");
    names.add("b");
    names.add("a");
    names.add("c");
    EXPECT_TRUE(names.contains("a"));
    EXPECT_FALSE(names.contains("b"));
    EXPECT_TRUE(names.contains("c"));
    names.clear();
    EXPECT_FALSE(names.contains("a"));
}

}

}
