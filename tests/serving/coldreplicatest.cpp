#include "tests/fakes/fleetconfig.h"
#include "tests/fakes/servingfleet.h"

#include <gtest/gtest.h>

namespace vanillaspar::serving
{

namespace
{

constexpr double coldPerSecond = 18;
constexpr int64_t coldLimit = 32; // coldPerSecond * fleetColdOvershoot + fleetColdSlack
constexpr Millis noticeTime(1200); // from the change of an entry until all hosts in contact know
constexpr Millis longTime(60000);

FleetSetup makeSetup(size_t hosts)
{
    FleetSetup setup;
    setup.hosts = hosts;
    setup.replicas = 6;
    setup.soundRate = 150;
    setup.coldPerSecond = coldPerSecond;
    return setup;
}

}

/** Cold engines in a fleet, by number of hosts. */
class ColdReplicasTest : public testing::TestWithParam<size_t>
{
protected:
    /** Checks what each cold engine gets from @p from until now. @param engines number of cold engines. */
    void expectLimited(size_t engines, Millis from)
    {
        for (size_t i = 0; i < engines; ++i) {
            EXPECT_LE(m_fleet.mostArrivals(i, from, m_fleet.now()), coldLimit) << "engine " << i;
        }
    }
    /** Makes all engines cold. @return from when on they must be treated so. */
    Millis coolAll()
    {
        for (size_t i = 0; i < m_fleet.engineCount(); ++i) {
            m_fleet.setCold(i, longTime);
        }
        m_fleet.play(noticeTime);
        return m_fleet.now();
    }

    ServingFleet m_fleet {makeSetup(GetParam()), 11};
};

/** Guards against hosts that each keep the limit alone and exceed it together, and against engines that stay unused. */
TEST_P(ColdReplicasTest, KeepTheLimitOverAllHosts)
{
    const Millis from = coolAll();
    m_fleet.play(Millis(6000));
    expectLimited(m_fleet.engineCount(), from);
    int64_t arrivals = 0;
    for (const char *domain : {"a", "b", "c"}) {
        arrivals += m_fleet.arrivalsIn(DomainId(domain), from + Millis(2000), m_fleet.now());
    }
    // 4 s of 6 engines at half of the cold rate.
    EXPECT_GE(arrivals, static_cast<int64_t>(4 * 6 * coldPerSecond / 2));
}

/** Guards against the load of a warm engine and the permits for the cold one adding up when it turns cold. */
TEST_P(ColdReplicasTest, TurnColdUnderFullLoad)
{
    const Millis from = m_fleet.now();
    m_fleet.setCold(0, longTime);
    m_fleet.play(Millis(5000));
    EXPECT_LE(m_fleet.mostArrivals(0, from, m_fleet.now()), coldLimit);
}

/** Guards against more than the limit in the time until all hosts know, at a load that alone exceeds the limit. */
TEST_P(ColdReplicasTest, TurnColdAtALoadBeyondTheLimit)
{
    FleetSetup setup = makeSetup(GetParam());
    setup.soundRate = 1.5 * static_cast<double>(coldLimit) * static_cast<double>(setup.replicas);
    ServingFleet fleet(setup, 12);
    fleet.play(Millis(3000));
    const Millis from = fleet.now();
    ASSERT_GT(fleet.mostArrivals(0, from - Millis(2000), from), coldLimit) << "the load doesn't exceed the limit";
    fleet.setCold(0, longTime);
    fleet.play(Millis(4000));
    EXPECT_LE(fleet.mostArrivals(0, from, fleet.now()), coldLimit);
}

/** Guards against a second budget of a new owner, and against shares that come on top of the dead owner's permits. */
TEST_P(ColdReplicasTest, KeepTheLimitWhenTheOwnerIsDead)
{
    const Millis from = coolAll();
    const size_t owner = m_fleet.ownerOf(0);
    ASSERT_LT(owner, m_fleet.hostCount());
    m_fleet.setFrozen(owner, true);
    m_fleet.play(Millis(18000));
    EXPECT_NE(m_fleet.ownerOf(0), owner);
    m_fleet.setFrozen(owner, false);
    m_fleet.play(Millis(3000));
    expectLimited(m_fleet.engineCount(), from);
}

/** Guards against hosts without contact to the store and the owner that go on as if the engines were warm. */
TEST_P(ColdReplicasTest, KeepTheLimitInAPartition)
{
    for (size_t i = 0; i < m_fleet.hostCount(); i += 3) {
        m_fleet.setCut(i, true);
    }
    m_fleet.play(Millis(3000));
    const Millis from = coolAll();
    m_fleet.play(Millis(4000));
    for (size_t i = 0; i < m_fleet.hostCount(); i += 3) {
        m_fleet.setCut(i, false);
    }
    m_fleet.play(Millis(3000));
    expectLimited(m_fleet.engineCount(), from);
}

/** Guards against hosts that start without memory and use permits or shares once more. */
TEST_P(ColdReplicasTest, KeepTheLimitWhenAllHostsRestart)
{
    const Millis from = coolAll();
    m_fleet.play(Millis(1000));
    m_fleet.restartAll();
    m_fleet.play(Millis(5000));
    expectLimited(m_fleet.engineCount(), from);
}

INSTANTIATE_TEST_SUITE_P(Fleets, ColdReplicasTest, testing::Values(6, 75));
INSTANTIATE_TEST_SUITE_P(LargeFleets, ColdReplicasTest, testing::Values(195));

}
