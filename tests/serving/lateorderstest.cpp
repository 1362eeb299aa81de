#include "core/random.h"
#include "policy/transferpacer.h"
#include "serving/loading/replicaorders.h"
#include "serving/replicas/adapterversions.h"
#include "serving/replicas/residencymap.h"
#include "tests/fakes/lateengine.h"
#include "tests/fakes/servingfakes.h"

#include <gtest/gtest.h>
#include <memory>
#include <set>
#include <string>

namespace vanillaspar::serving
{

namespace
{

constexpr Millis step(10);

/** Owners of one engine whose orders are lost, late, overtaken, refused or answered in vain. */
class LateOrdersTest : public testing::TestWithParam<uint64_t>
{
protected:
    LateOrdersTest() : m_random(GetParam()), m_engine(m_random, adapterSlots)
    {
        m_config.pools[PoolId("engines")].engine->adapterSlots = adapterSlots;
    }
    /** Gives the engine an owner that knows nothing of it; orders of the last one may still be on their way. */
    void takeOver()
    {
        m_orders = std::make_unique<ReplicaOrders>(ReplicaId("r"), m_engine, m_log, m_pacer, 100, [] {});
    }
    void advance()
    {
        m_now += step;
        m_engine.advance(m_now);
        m_orders->evaluatePendingLoads(m_residency, m_now);
        m_orders->sendNextOrder(
            {m_backend, *m_config.pools.at(PoolId("engines")).engine, m_versions, HostId("h1"), Epoch(5), true, true},
            m_now);
    }
    /** Requests adapters as traffic does: a few popular ones, and rare ones that push others out. */
    void requestAdapter()
    {
        const bool isPopular = m_random.below(2) == 0;
        const std::string weights = "m/a" + std::to_string(m_random.below(isPopular ? 12 : 200));
        m_orders->onAdapterRequest({ReplicaId("r"), weights, 0, 1, false}, m_now);
        m_requested.insert(weights);
    }

    static constexpr int64_t adapterSlots = 13;

    Random m_random;
    ServingConfig m_config = makeConfig();
    Backend m_backend = makeBackend("r", "engines");
    AdapterVersions m_versions;
    LateEngine m_engine;
    FakeLog m_log;
    TransferPacer m_pacer;
    ResidencyMap m_residency;
    Millis m_now {10000};
    std::set<std::string> m_requested;
    std::unique_ptr<ReplicaOrders> m_orders;
};

// A replica with 13 adapters was ordered to load a 14th and crashed, as a conflict was taken for an accepted load.
TEST_P(LateOrdersTest, NoOrderExceedsThePlacesWhateverIsLostLateOrOvertaken)
{
    constexpr Millis duration(120000);
    takeOver();
    const Millis end = m_now + duration;
    int64_t version = 1;
    std::pair<std::string, int64_t> announced;
    while (m_now < end) {
        if (m_random.below(10) == 0) {
            requestAdapter();
        }
        if (m_random.below(500) == 0) {
            // The engine may fetch a version before the owner hears of it.
            const std::string weights = "m/a" + std::to_string(m_random.below(12));
            m_engine.setNewestVersion(weights, ++version);
            announced = {weights, version};
        }
        if (m_random.below(20) == 0 && announced.second > 0) {
            m_versions.announce(announced.first, announced.second, m_now);
            announced.second = 0;
        }
        if (m_random.below(1500) == 0) {
            takeOver();
        }
        advance();
        ASSERT_FALSE(m_engine.hasCrashed()) << "at " << m_now.value << " ms: " << m_engine.lastOrder();
    }
    EXPECT_GT(m_engine.loadCount(), 100) << "loads must proceed";
    RecordProperty("loads", static_cast<int>(m_engine.loadCount()));
    RecordProperty("orders", static_cast<int>(m_engine.orderCount()));
    RecordProperty("reports", static_cast<int>(m_engine.reportCount()));
}

// Orders are lost only in the first half; afterwards each adapter that is asked for is ready soon.
TEST_P(LateOrdersTest, AfterTheTroubleAdaptersAreLoadedInTime)
{
    takeOver();
    const Millis troubleEnd = m_now + Millis(30000);
    while (m_now < troubleEnd) {
        if (m_random.below(10) == 0) {
            requestAdapter();
        }
        advance();
    }
    m_engine.endTrouble();
    for (Millis waited(0); waited < Millis(13000); waited += step) {
        advance(); // the last late orders arrive
    }
    const int64_t probes = m_engine.reportCount();
    constexpr int loads = 20;
    for (int i = 0; i < loads; ++i) {
        const std::string weights = "m/b" + std::to_string(i);
        Millis waited(0);
        while (!m_engine.isReady(weights) && waited < Millis(1000)) {
            m_orders->onAdapterRequest({ReplicaId("r"), weights, 0, 1, false}, m_now);
            advance();
            waited += step;
        }
        EXPECT_LT(waited, Millis(1000)) << weights;
    }
    EXPECT_LE(m_engine.reportCount() - probes, 1) << "without trouble no probe is needed";
}

// On these an order that the replica already held was counted, and a late order met the wrong adapters.
INSTANTIATE_TEST_SUITE_P(OrdersThatAlreadyHold, LateOrdersTest, testing::Values<uint64_t>(1386, 2147, 2484, 2806));
INSTANTIATE_TEST_SUITE_P(Seeds, LateOrdersTest, testing::Range<uint64_t>(1, 61));

}

}
