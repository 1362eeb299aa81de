#include "serving/loading/ownershipterms.h"

#include "serving/interfaces/storeposition.h"
#include "serving/loading/ownertable.h"

#include <gtest/gtest.h>

namespace vanillaspar::serving
{

namespace
{

constexpr Millis wait(10300);
constexpr Millis start(100000);

/** A host that owns a replica by a table, and the table that follows it in the next era. */
class OwnershipTermsTest : public testing::Test
{
protected:
    void SetUp() override
    {
        m_table.assign(m_table.nextFencingNumber({0, 40}), {{"r0", DomainId("a")}}, {{"h1", DomainId("a")}}, {});
        m_confirmed = m_table;
        m_confirmed.confirm(1, m_confirmed.nextFencingNumber({1, 35}));
    }
    void read(const OwnerTable &table, int64_t era, Millis now)
    {
        m_terms.onTable(table, era, now, [&](const ReplicaId &replica) {
            return mayOrder(now, replica);
        });
        m_inForce = table;
    }
    bool mayOrder(Millis now, const ReplicaId &replica = ReplicaId("r0")) const
    {
        return m_terms.hasBegun(m_inForce, replica, wait, now);
    }

    OwnershipTerms m_terms {HostId("h1")};
    OwnerTable m_table;
    OwnerTable m_confirmed;
    OwnerTable m_inForce;
};

TEST_F(OwnershipTermsTest, AHostThatStartsAfterARestoreDoesNotOrderByATableThatNobodyHasConfirmed)
{
    // Guards against an owner whose fencing number is lower than one that the lost table issued.
    read(m_table, 1, start);
    EXPECT_FALSE(mayOrder(start + wait * 3));
    read(m_confirmed, 1, start + wait * 3);
    EXPECT_TRUE(mayOrder(start + wait * 3 + Millis(1))) << "the wait counts from when it first saw the era";
}

TEST_F(OwnershipTermsTest, AHostThatStartsAfterTheTableWasConfirmedWaits)
{
    // Guards against a new process that takes itself for the owner of long ago.
    read(m_confirmed, 1, start);
    EXPECT_FALSE(mayOrder(start + wait));
    EXPECT_TRUE(mayOrder(start + wait + Millis(1)));
}

TEST_F(OwnershipTermsTest, AnOwnerGoesOnWhileItsFencingNumberRises)
{
    // Guards against a stop of all loads at each restore, because the confirmed table looks like another owner's.
    read(m_table, 0, start);
    EXPECT_TRUE(mayOrder(start));
    read(m_table, 1, start + Millis(100));
    EXPECT_TRUE(mayOrder(start + Millis(100)));
    read(m_confirmed, 1, start + Millis(200));
    EXPECT_TRUE(mayOrder(start + Millis(200)));
    OwnerTable again = m_confirmed;
    again.confirm(3, again.nextFencingNumber({3, 36}));
    read(again, 3, start + Millis(300));
    EXPECT_TRUE(mayOrder(start + Millis(300))) << "the era rose twice before the host saw it";
}

TEST_F(OwnershipTermsTest, AnOwnerKeepsItsNumberWhenASecondRestoreTakesTheConfirmedTableBack)
{
    // Guards against an owner that goes on with the lower number of the copy, until the table is confirmed once more.
    read(m_table, 0, start);
    read(m_confirmed, 1, start + Millis(100));
    const Epoch ordered = *m_terms.fencingNumber(ReplicaId("r0"));
    EXPECT_EQ(ordered, m_confirmed.find(ReplicaId("r0"))->fencingNumber);
    read(m_table, 2, start + Millis(200));
    EXPECT_TRUE(mayOrder(start + Millis(200)));
    EXPECT_EQ(*m_terms.fencingNumber(ReplicaId("r0")), ordered);
    m_table.confirm(2, m_table.nextFencingNumber({2, 35}));
    read(m_table, 2, start + Millis(300));
    EXPECT_GT(*m_terms.fencingNumber(ReplicaId("r0")), ordered);
}

TEST_F(OwnershipTermsTest, AnOwnerThatLostTheReplicaMeanwhileWaits)
{
    // Guards against an owner that goes on by an assignment of which a restore has made another one.
    read(m_table, 0, start);
    OwnerTable other;
    other.assign(other.nextFencingNumber({1, 36}), {{"r0", DomainId("a")}}, {{"h1", DomainId("a")}}, {}, true);
    other.confirm(1, other.nextFencingNumber({1, 36}));
    read(other, 1, start + Millis(100));
    EXPECT_FALSE(mayOrder(start + Millis(100)));
    EXPECT_TRUE(mayOrder(start + Millis(101) + wait));
}

}

}
