#include "core/eventcutter.h"

#include <gtest/gtest.h>

namespace vanillaspar
{

namespace
{

TEST(EventCutter, PassesWholeEventsHoweverTheyArrive)
{
    const std::string stream = "id: 7\ndata: a\n\nid:8\ndata: b\ndata: c\n\n";
    for (size_t length = 1; length <= stream.size(); ++length) {
        EventCutter cutter;
        std::string passed;
        for (size_t start = 0; start < stream.size(); start += length) {
            passed += cutter.append(std::string_view(stream).substr(start, length));
        }
        EXPECT_EQ(passed, stream) << "pieces of " << length;
        EXPECT_EQ(cutter.lastId(), "8");
    }
}

TEST(EventCutter, HoldsBackAnEventThatIsNotWhole)
{
    EventCutter cutter;
    EXPECT_EQ(cutter.append("id: 1\ndata: a\n\nid: 2\nda"), "id: 1\ndata: a\n\n");
    EXPECT_EQ(cutter.lastId(), "1");
    EXPECT_EQ(cutter.takeIncomplete(), "id: 2\nda");
    EXPECT_EQ(cutter.takeIncomplete(), "");
}

TEST(EventCutter, EventsThatEndInCarriageReturnsArePassedOnToo)
{
    for (const std::string lineEnd : {"\r\n", "\r"}) {
        const std::string first = "id: 1" + lineEnd + "data: a" + lineEnd + lineEnd;
        EventCutter cutter;
        std::string passed = cutter.append(first);
        passed += cutter.append("id: 2" + lineEnd + "da");
        EXPECT_EQ(passed.substr(0, first.size()), first);
        EXPECT_LE(passed.size(), first.size() + 1);
        EXPECT_EQ(cutter.lastId(), "1");
    }
}

TEST(EventCutter, AnIdInTheDataIsNoId)
{
    EventCutter cutter;
    cutter.append("id: 1\ndata: id: 9\n\n");
    EXPECT_EQ(cutter.lastId(), "1");
}

}

}
