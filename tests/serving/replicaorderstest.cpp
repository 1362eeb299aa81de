#include "serving/replicaorders.h"

#include "serving/adapterversions.h"
#include "tests/fakes/servingfakes.h"

#include <gtest/gtest.h>

namespace vanillaspar::serving
{

namespace
{

/** The orders of one replica with three places for adapters. */
class ReplicaOrdersTest : public testing::Test
{
protected:
    void SetUp() override
    {
        settle({{"m/a1", 1}, {"m/a2", 1}, {"m/a3", 1}}, 7);
    }
    std::unique_ptr<ReplicaOrders> makeOrders()
    {
        return std::make_unique<ReplicaOrders>(ReplicaId("r"), m_port, m_log, 100, [] {});
    }
    /** Lets the owner learn what the replica holds. */
    void settle(std::vector<EngineAdapter> adapters, int64_t count)
    {
        step();
        ASSERT_EQ(m_port.reports.size(), 1U);
        EngineResidency residency;
        residency.models = {{"m", 1}};
        residency.adapters = std::move(adapters);
        residency.orderCount = count;
        m_port.answerReport(residency);
    }
    void step()
    {
        m_orders->step(
            {m_backend, *m_config.pools.at(PoolId("engines")).engine, m_versions, HostId("h1"), Epoch(5), true}, m_now);
    }
    void ask(const std::string &weights)
    {
        m_orders->onAsk({ReplicaId("r"), weights, 0, 1, false}, m_now);
    }
    void pass(int64_t millis)
    {
        m_now += Millis(millis);
    }

    ServingConfig m_config = makeConfig();
    Backend m_backend = makeBackend("r", "engines");
    AdapterVersions m_versions;
    FakeOrders m_port;
    FakeLog m_log;
    Millis m_now {10000};
    std::unique_ptr<ReplicaOrders> m_orders = makeOrders();
};

TEST_F(ReplicaOrdersTest, NeverOrdersMoreThanThePlacesHold)
{
    pass(1000);
    ask("m/a4");
    step();
    ASSERT_EQ(m_port.orders.size(), 1U);
    EXPECT_FALSE(m_port.orders[0].order.isLoad) << "all places are taken, so one must be freed first";
    step();
    EXPECT_EQ(m_port.orders.size(), 1U) << "one order at a time";
    m_port.answer(OrderResult::AlreadyHolds);
    step();
    ASSERT_EQ(m_port.orders.size(), 1U);
    EXPECT_TRUE(m_port.orders[0].order.isLoad);
    EXPECT_EQ(m_port.orders[0].order.weights, "m/a4");
}

TEST_F(ReplicaOrdersTest, EachOrderNamesTheCountThatItExpects)
{
    pass(1000);
    ask("m/a4");
    step();
    EXPECT_EQ(m_port.orders[0].order.expectedCount, 7);
    m_port.answer(OrderResult::AlreadyHolds);
    step();
    EXPECT_EQ(m_port.orders[0].order.expectedCount, 8);
}

TEST_F(ReplicaOrdersTest, AfterAnOrderWithoutAnswerItAsksWhatTheReplicaHolds)
{
    pass(1000);
    ask("m/a4");
    step();
    m_port.answer(OrderResult::Unknown);
    step();
    EXPECT_TRUE(m_port.orders.empty());
    EXPECT_TRUE(m_port.reports.empty()) << "reports lag, so the first one is asked for later";
    pass(500);
    ask("m/a4");
    step();
    ASSERT_EQ(m_port.reports.size(), 1U);
    // The order had been carried out after all: a place is free now.
    EngineResidency residency;
    residency.models = {{"m", 1}};
    residency.adapters = {{"m/a2", 1}, {"m/a3", 1}};
    residency.orderCount = 8;
    m_port.answerReport(residency);
    step();
    ASSERT_EQ(m_port.orders.size(), 1U);
    EXPECT_TRUE(m_port.orders[0].order.isLoad);
    EXPECT_EQ(m_port.orders[0].order.expectedCount, 8) << "an earlier order that arrives now finds another count";
}

TEST_F(ReplicaOrdersTest, NeverUnloadsAnAdapterInUse)
{
    pass(1000);
    m_orders->onUse(HostId("h2"), {ReplicaId("r"), {{"m/a1", 1}, {"m/a2", 2}}}, m_now);
    m_orders->onUse(HostId("h3"), {ReplicaId("r"), {{"m/a3", 1}}}, m_now);
    ask("m/a4");
    step();
    EXPECT_TRUE(m_port.orders.empty());
    m_orders->onUse(HostId("h3"), {ReplicaId("r"), {}}, m_now);
    step();
    ASSERT_EQ(m_port.orders.size(), 1U);
    EXPECT_EQ(m_port.orders[0].order.weights, "m/a3");
}

TEST_F(ReplicaOrdersTest, ANewVersionReplacesTheOldOne)
{
    pass(1000);
    m_versions.announce("m/a2", 2, m_now);
    step();
    ASSERT_EQ(m_port.orders.size(), 1U);
    EXPECT_EQ(m_port.orders[0].order.weights, "m/a2");
    m_port.answer(OrderResult::Accepted);
    const std::optional<ResidencyNews> news = m_orders->takeNews(m_backend, HostId("h1"), m_now);
    ASSERT_TRUE(news);
    for (const ResidentAdapter &adapter : news->adapters) {
        EXPECT_EQ(adapter.readyIn > 0, adapter.weights == "m/a2");
        EXPECT_EQ(adapter.version, adapter.weights == "m/a2" ? 2 : (adapter.weights == "m" ? 0 : 1));
    }
}

TEST_F(ReplicaOrdersTest, AnswersAfterItsEndAreDropped)
{
    // Found by a hunted day: a host that woke from a suspension lost its replica while an order was open.
    pass(1000);
    ask("m/a4");
    step();
    m_orders.reset();
    m_port.answer(OrderResult::AlreadyHolds);
    EXPECT_TRUE(m_port.orders.empty());
}

TEST_F(ReplicaOrdersTest, AnswersFromBeforeANewLifeAreDropped)
{
    pass(1000);
    ask("m/a4");
    step();
    m_orders->reset();
    m_port.answer(OrderResult::AlreadyHolds);
    step();
    EXPECT_EQ(m_port.reports.size(), 1U) << "what the new life holds isn't known";
}

TEST_F(ReplicaOrdersTest, AReplicaWithoutBaseModelLoadsItFirst)
{
    m_orders->reset();
    step();
    EngineResidency empty;
    m_port.answerReport(empty);
    ask("m/a4");
    step();
    ASSERT_EQ(m_port.orders.size(), 1U);
    EXPECT_EQ(m_port.orders[0].order.weights, "m");
    m_port.answer(OrderResult::Accepted);
    EXPECT_TRUE(m_orders->isLoadingModel());
    pass(1000);
    step();
    EXPECT_TRUE(m_port.reports.empty()) << "the load takes two seconds";
    pass(1500);
    step();
    EXPECT_EQ(m_port.reports.size(), 1U);
}

}

}
