#include "serving/loading/ownertable.h"

#include "core/error.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace vanillaspar::serving
{

namespace
{

std::vector<DomainMember> replicas(int count)
{
    std::vector<DomainMember> list;
    for (int i = 0; i < count; ++i) {
        list.push_back({"r" + std::to_string(i), DomainId(i % 2 == 0 ? "a" : "b")});
    }
    return list;
}

TEST(OwnerTable, SharesReplicasEvenly)
{
    OwnerTable table;
    ASSERT_TRUE(table.assign(replicas(18), {{"h1", DomainId("a")}, {"h2", DomainId("b")}, {"h3", DomainId("a")}}, {}));
    std::map<HostId, int> counts;
    for (const auto &[replica, entry] : table.entries()) {
        ++counts[entry.host];
        EXPECT_FALSE(entry.isTakeover);
    }
    for (const auto &[host, count] : counts) {
        EXPECT_EQ(count, 6) << host.text();
    }
}

TEST(OwnerTable, MovesOnlyTheReplicasOfALostHost)
{
    OwnerTable table;
    const std::vector<DomainMember> hosts {{"h1", DomainId("a")}, {"h2", DomainId("b")}};
    ASSERT_TRUE(table.assign(replicas(4), hosts, {}));
    const OwnerTable before = table;
    ASSERT_TRUE(table.assign(replicas(4), {{"h2", DomainId("b")}}, {HostId("h1")}));
    for (const auto &[replica, entry] : table.entries()) {
        const OwnerEntry &old = *before.find(replica);
        EXPECT_EQ(entry.host, HostId("h2"));
        EXPECT_EQ(entry.isTakeover, old.host == HostId("h1"));
        EXPECT_EQ(entry.fencingNumber > old.fencingNumber, old.host == HostId("h1"))
            << "the fencing number increases with every change of the owner, and only then";
    }
    EXPECT_FALSE(table.assign(replicas(4), {{"h2", DomainId("b")}}, {HostId("h1")}))
        << "every replica already has a live owner";
}

TEST(OwnerTable, SurvivesTheStore)
{
    OwnerTable table;
    ASSERT_TRUE(table.assign(replicas(3), {{"h1", DomainId("a")}}, {}));
    const OwnerTable read = OwnerTable::fromJson(table.toJson());
    EXPECT_EQ(read.toJson(), table.toJson());
    EXPECT_THROW(OwnerTable::fromJson(nlohmann::json {{"fence", "x"}}), DecodeError);
}

}

}
