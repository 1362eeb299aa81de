#include "serving/loading/ownertable.h"

#include "core/error.h"
#include "serving/interfaces/storeposition.h"
#include "serving/loading/absentreplicas.h"

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
    ASSERT_TRUE(table.assign(Epoch(1), replicas(18),
                             {{"h1", DomainId("a")}, {"h2", DomainId("b")}, {"h3", DomainId("a")}}, {}));
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
    ASSERT_TRUE(table.assign(Epoch(1), replicas(4), hosts, {}));
    const OwnerTable before = table;
    ASSERT_TRUE(table.assign(Epoch(2), replicas(4), {{"h2", DomainId("b")}}, {HostId("h1")}));
    for (const auto &[replica, entry] : table.entries()) {
        const OwnerEntry &old = *before.find(replica);
        EXPECT_EQ(entry.host, HostId("h2"));
        EXPECT_EQ(entry.isTakeover, old.host == HostId("h1"));
        EXPECT_EQ(entry.fencingNumber > old.fencingNumber, old.host == HostId("h1"))
            << "the fencing number increases with every change of the owner, and only then";
    }
    EXPECT_FALSE(table.assign(Epoch(3), replicas(4), {{"h2", DomainId("b")}}, {HostId("h1")}))
        << "every replica already has a live owner";
}

TEST(OwnerTable, AReplicaThatIsNotKnownForAMomentKeepsItsOwner)
{
    // Guards against a second owner that doesn't wait for the lease of the first one, as nothing tells of that any
    // more.
    OwnerTable table;
    ASSERT_TRUE(table.assign(Epoch(1), replicas(2), {{"h1", DomainId("a")}}, {}));
    std::vector<DomainMember> known {replicas(3)[0], replicas(3)[2]}; // r2 is new, r1 isn't known
    ASSERT_TRUE(table.assign(Epoch(2), known, {{"h1", DomainId("a")}}, {}));
    ASSERT_NE(table.find(ReplicaId("r1")), nullptr);
    ASSERT_TRUE(table.assign(Epoch(3), replicas(3), {{"h2", DomainId("a")}}, {HostId("h1")}));
    EXPECT_TRUE(table.find(ReplicaId("r1"))->isTakeover);
    table.remove({ReplicaId("r1")});
    EXPECT_EQ(table.find(ReplicaId("r1")), nullptr);
}

TEST(AbsentReplicas, AreRemovedOnceTheyWereMissingForTheWholeTime)
{
    // Guards against an entry that a host removes because it was cut off or led only now and then.
    constexpr Millis retention(10300);
    OwnerTable table;
    ASSERT_TRUE(table.assign(Epoch(1), replicas(2), {{"h1", DomainId("a")}}, {}));
    AbsentReplicas absent;
    Millis now(100000);
    const auto missingAfter = [&](int64_t steps) {
        std::set<ReplicaId> removable;
        for (int64_t i = 0; i < steps; ++i) {
            now += Millis(500);
            removable = absent.update(table, replicas(1), retention, now);
        }
        return removable;
    };
    EXPECT_TRUE(missingAfter(21).empty());
    EXPECT_EQ(missingAfter(1), std::set<ReplicaId> {ReplicaId("r1")});
    absent.update(table, replicas(2), retention, now);
    EXPECT_TRUE(missingAfter(21).empty()) << "it was there in between";
    now += retention;
    EXPECT_TRUE(missingAfter(1).empty()) << "nobody looked in between";
}

TEST(OwnerTable, SurvivesTheStore)
{
    OwnerTable table;
    ASSERT_TRUE(table.assign(Epoch(1), replicas(3), {{"h1", DomainId("a")}}, {}));
    const OwnerTable read = OwnerTable::fromJson(table.toJson());
    EXPECT_EQ(read.toJson(), table.toJson());
    EXPECT_THROW(OwnerTable::fromJson(nlohmann::json {{"fence", "x"}}), DecodeError);
}

TEST(OwnerTable, ATableOfAnEarlierBuildIsFollowedByHigherNumbers)
{
    // Guards against fencing numbers that fall at an upgrade: earlier builds counted the changes of the table.
    const nlohmann::json content {{"fence", 7},
                                  {"replicas", {{"r0", {{"host", "h1"}, {"fence", 5}, {"takeover", false}}}}}};
    const OwnerTable table = OwnerTable::fromJson(content);
    EXPECT_EQ(table.find(ReplicaId("r0"))->assignedAs, Epoch(5));
    EXPECT_GT(table.nextFencingNumber({0, 40}), table.lastFencingNumber());
    EXPECT_GT(table.nextFencingNumber({0, 3}), table.lastFencingNumber()) << "not even if the store counted anew";
    EXPECT_EQ(table.toJson(), content);
}

TEST(OwnerTable, FencingNumbersRiseWithTheRevisionAndOverEveryRestore)
{
    // Guards against a number that is issued again: a restore takes revisions back, by hours if the copy is that old,
    // and the era may rise by more than one before a host sees it.
    constexpr int64_t newestRevision = 2000000000;
    constexpr int64_t lostRevisions = 200000000;
    constexpr int64_t manyEras = 1000000;
    const OwnerTable table;
    Epoch highest;
    for (const int64_t era : {int64_t(0), int64_t(1), int64_t(2), int64_t(5), manyEras}) {
        for (const int64_t revision : {newestRevision - lostRevisions, newestRevision - 1, newestRevision}) {
            const Epoch number = table.nextFencingNumber({era, revision});
            EXPECT_GT(number, highest) << era << "." << revision;
            EXPECT_EQ(static_cast<int64_t>(static_cast<double>(number.value)), number.value)
                << "a JSON decoder that keeps doubles reads another number";
            highest = number;
        }
    }
}

TEST(OwnerTable, ConfirmingItInANewEraRaisesEveryNumberAndKeepsTheAssignments)
{
    // Guards against owners of a restored table that order with a lower number than owners of the lost one.
    OwnerTable table;
    const std::vector<DomainMember> hosts {{"h1", DomainId("a")}, {"h2", DomainId("b")}};
    ASSERT_TRUE(table.assign(table.nextFencingNumber({0, 40}), replicas(4), hosts, {}));
    const OwnerTable before = table;
    const Epoch lost = table.nextFencingNumber({0, 60});
    EXPECT_FALSE(table.confirm(0, table.nextFencingNumber({0, 50})));
    ASSERT_TRUE(table.confirm(2, table.nextFencingNumber({2, 41})));
    for (const auto &[replica, entry] : table.entries()) {
        EXPECT_GT(entry.fencingNumber, lost);
        EXPECT_EQ(entry.assignedAs, before.find(replica)->assignedAs);
        EXPECT_EQ(entry.host, before.find(replica)->host);
        EXPECT_TRUE(entry.isTakeover);
    }
    const OwnerTable read = OwnerTable::fromJson(table.toJson());
    EXPECT_EQ(read.toJson(), table.toJson());
    EXPECT_EQ(read.find(ReplicaId("r0"))->assignedAs, before.find(ReplicaId("r0"))->assignedAs);
}

}

}
