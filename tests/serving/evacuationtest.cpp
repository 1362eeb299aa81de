#include "tests/fakes/fleetconfig.h"
#include "tests/fakes/servingfleet.h"

#include <gtest/gtest.h>

namespace vanillaspar::serving
{

namespace
{

constexpr Millis soon(700); // far below the limit, as the operator wants it
const DomainId first("a");
const DomainId second("b");

FleetSetup makeSetup(size_t hosts)
{
    FleetSetup setup;
    setup.hosts = hosts;
    setup.evacuationLimit = Millis(5000);
    return setup;
}

}

/** Evacuations in a fleet, by number of hosts. */
class EvacuationTest : public testing::TestWithParam<size_t>
{
protected:
    void setEvacuated(const DomainId &domain, bool isEvacuated)
    {
        m_fleet.store().put(Collection::Evacuations, domain.text(),
                            isEvacuated ? nlohmann::json::object() : nlohmann::json());
    }
    /** @return requests that reached a domain in the last @p span. */
    int64_t arrivals(const DomainId &domain, Millis span) const
    {
        return m_fleet.arrivalsIn(domain, m_fleet.now() - span, m_fleet.now());
    }

    ServingFleet m_fleet {makeSetup(GetParam()), 12};
};

/** Guards against hosts that learn late of an evacuation, or of the second one, and against one that ends both. */
TEST_P(EvacuationTest, TwoAtOnceAndOneCancelledHalfway)
{
    setEvacuated(first, true);
    m_fleet.play(Millis(200));
    setEvacuated(second, true);
    m_fleet.play(soon + Millis(1000));
    EXPECT_EQ(arrivals(first, Millis(1000)), 0);
    EXPECT_EQ(arrivals(second, Millis(1000)), 0);
    EXPECT_GT(arrivals(DomainId("c"), Millis(1000)), 100);
    setEvacuated(first, false);
    m_fleet.play(soon + Millis(1000));
    EXPECT_GT(arrivals(first, Millis(1000)), 20);
    EXPECT_EQ(arrivals(second, Millis(1000)), 0);
}

/** Guards against hosts that forget an evacuation while the store is down, and against a restarted one that never knew.
 */
TEST_P(EvacuationTest, LastsThroughAStoreOutage)
{
    setEvacuated(first, true);
    m_fleet.play(soon);
    m_fleet.setStoreDown(true);
    m_fleet.play(Millis(4000));
    EXPECT_EQ(arrivals(first, Millis(4000)), 0);
    m_fleet.setStoreDown(false);
    m_fleet.restart(0);
    m_fleet.restart(m_fleet.hostCount() - 1);
    m_fleet.play(Millis(4000));
    EXPECT_EQ(arrivals(first, Millis(4000)), 0);
    EXPECT_GT(arrivals(second, Millis(1000)), 50);
}

/** Guards against a leaf host that depends on hubs that are gone, and against store calls of each leaf host. */
TEST_P(EvacuationTest, ReachesHostsWithoutHubs)
{
    for (size_t i = 0; i < 6 && m_fleet.hostCount() > 6; i += 3) {
        m_fleet.setFrozen(i, true);
    }
    setEvacuated(first, true);
    m_fleet.play(Millis(4000));
    EXPECT_EQ(arrivals(first, Millis(1000)), 0);
    EXPECT_LT(m_fleet.store().watchCount(Collection::Evacuations), 120);
}

/** Guards against a host that starts and serves before it knows of an evacuation. */
TEST_P(EvacuationTest, IsKnownToAllHostsThatStart)
{
    setEvacuated(first, true);
    m_fleet.play(soon);
    m_fleet.restartAll();
    m_fleet.play(Millis(5000));
    EXPECT_EQ(arrivals(first, Millis(5000)), 0);
    EXPECT_GT(arrivals(second, Millis(1000)), 50);
}

INSTANTIATE_TEST_SUITE_P(Fleets, EvacuationTest, testing::Values(6, 75));
INSTANTIATE_TEST_SUITE_P(LargeFleets, EvacuationTest, testing::Values(195));

}
