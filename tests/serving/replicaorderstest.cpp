#include "serving/replicaorders.h"

#include "serving/adapterversions.h"
#include "tests/fakes/servingfakes.h"

#include <gtest/gtest.h>

namespace vanillaspar::serving
{

namespace
{

/** Orders of one replica whose engine has three adapter slots, all in use. */
class ReplicaOrdersTest : public testing::Test
{
protected:
    void SetUp() override
    {
        reportResidency({{"m/a1", 1}, {"m/a2", 1}, {"m/a3", 1}}, 7);
    }
    std::unique_ptr<ReplicaOrders> makeOrders()
    {
        return std::make_unique<ReplicaOrders>(ReplicaId("r"), m_orderPort, m_log, 100, [] {});
    }
    /** Answers the query for what the replica holds, with its base model and the given adapters. */
    void reportResidency(std::vector<EngineAdapter> adapters, int64_t count)
    {
        step();
        ASSERT_EQ(m_orderPort.reports.size(), 1U);
        EngineResidency residency;
        residency.models = {{"m", 1}};
        residency.adapters = std::move(adapters);
        residency.orderCount = count;
        m_orderPort.answerReport(residency);
    }
    void step()
    {
        m_orders->sendNextOrder(
            {m_backend, *m_config.pools.at(PoolId("engines")).engine, m_versions, HostId("h1"), Epoch(5), true}, m_now);
    }
    void request(const std::string &weights)
    {
        m_orders->onAdapterRequest({ReplicaId("r"), weights, 0, 1, false}, m_now);
    }
    void advance(int64_t millis)
    {
        m_now += Millis(millis);
    }

    ServingConfig m_config = makeConfig();
    Backend m_backend = makeBackend("r", "engines");
    AdapterVersions m_versions;
    FakeOrders m_orderPort;
    FakeLog m_log;
    Millis m_now {10000};
    std::unique_ptr<ReplicaOrders> m_orders = makeOrders();
};

TEST_F(ReplicaOrdersTest, NeverOrdersMoreThanThePlacesHold)
{
    advance(1000);
    request("m/a4");
    step();
    ASSERT_EQ(m_orderPort.orders.size(), 1U);
    EXPECT_FALSE(m_orderPort.orders[0].order.isLoad) << "all slots are in use, so an adapter must be unloaded first";
    step();
    EXPECT_EQ(m_orderPort.orders.size(), 1U) << "one order at a time";
    m_orderPort.answer(OrderResult::Completed);
    step();
    ASSERT_EQ(m_orderPort.orders.size(), 1U);
    EXPECT_TRUE(m_orderPort.orders[0].order.isLoad);
    EXPECT_EQ(m_orderPort.orders[0].order.weights, "m/a4");
}

TEST_F(ReplicaOrdersTest, EachOrderNamesTheCountThatItExpects)
{
    advance(1000);
    request("m/a4");
    step();
    EXPECT_EQ(m_orderPort.orders[0].order.expectedOrderCount, 7);
    m_orderPort.answer(OrderResult::Completed);
    step();
    EXPECT_EQ(m_orderPort.orders[0].order.expectedOrderCount, 8);
}

TEST_F(ReplicaOrdersTest, AfterAnOrderWithoutAnswerItAsksWhatTheReplicaHolds)
{
    advance(1000);
    request("m/a4");
    step();
    m_orderPort.answer(OrderResult::Unknown);
    step();
    EXPECT_TRUE(m_orderPort.orders.empty());
    EXPECT_TRUE(m_orderPort.reports.empty()) << "reports lag, so the replica is queried only after a delay";
    advance(500);
    request("m/a4");
    step();
    ASSERT_EQ(m_orderPort.reports.size(), 1U);
    // The order without a response was carried out, so a slot is free.
    EngineResidency residency;
    residency.models = {{"m", 1}};
    residency.adapters = {{"m/a2", 1}, {"m/a3", 1}};
    residency.orderCount = 8;
    m_orderPort.answerReport(residency);
    step();
    ASSERT_EQ(m_orderPort.orders.size(), 1U);
    EXPECT_TRUE(m_orderPort.orders[0].order.isLoad);
    EXPECT_EQ(m_orderPort.orders[0].order.expectedOrderCount, 8)
        << "an earlier order that arrives now finds a different count";
}

TEST_F(ReplicaOrdersTest, NeverUnloadsAnAdapterInUse)
{
    advance(1000);
    m_orders->onUseReport(HostId("h2"), {ReplicaId("r"), {{"m/a1", 1}, {"m/a2", 2}}}, m_now);
    m_orders->onUseReport(HostId("h3"), {ReplicaId("r"), {{"m/a3", 1}}}, m_now);
    request("m/a4");
    step();
    EXPECT_TRUE(m_orderPort.orders.empty());
    m_orders->onUseReport(HostId("h3"), {ReplicaId("r"), {}}, m_now);
    step();
    ASSERT_EQ(m_orderPort.orders.size(), 1U);
    EXPECT_EQ(m_orderPort.orders[0].order.weights, "m/a3");
}

TEST_F(ReplicaOrdersTest, ANewVersionReplacesTheOldOne)
{
    advance(1000);
    m_versions.announce("m/a2", 2, m_now);
    step();
    ASSERT_EQ(m_orderPort.orders.size(), 1U);
    EXPECT_EQ(m_orderPort.orders[0].order.weights, "m/a2");
    m_orderPort.answer(OrderResult::Accepted);
    const std::optional<ResidencyReport> report = m_orders->takeReport(m_backend, HostId("h1"), m_now);
    ASSERT_TRUE(report);
    for (const ResidentAdapter &adapter : report->adapters) {
        EXPECT_EQ(adapter.readyInMs > 0, adapter.weights == "m/a2");
        EXPECT_EQ(adapter.version, adapter.weights == "m/a2" ? 2 : (adapter.weights == "m" ? 0 : 1));
    }
}

TEST_F(ReplicaOrdersTest, AnswersAfterItsEndAreDropped)
{
    // Guards against a use after free: a host that resumes from a suspension finds that it no longer owns the replica
    // and deletes its orders while one still waits for the response.
    advance(1000);
    request("m/a4");
    step();
    m_orders.reset();
    m_orderPort.answer(OrderResult::Completed);
    EXPECT_TRUE(m_orderPort.orders.empty());
}

TEST_F(ReplicaOrdersTest, AnswersFromBeforeANewLifeAreDropped)
{
    advance(1000);
    request("m/a4");
    step();
    m_orders->reset();
    m_orderPort.answer(OrderResult::Completed);
    step();
    EXPECT_EQ(m_orderPort.reports.size(), 1U) << "what the new incarnation holds isn't known";
}

TEST_F(ReplicaOrdersTest, AReplicaWithoutBaseModelLoadsItFirst)
{
    m_orders->reset();
    step();
    EngineResidency empty;
    m_orderPort.answerReport(empty);
    request("m/a4");
    step();
    ASSERT_EQ(m_orderPort.orders.size(), 1U);
    EXPECT_EQ(m_orderPort.orders[0].order.weights, "m");
    m_orderPort.answer(OrderResult::Accepted);
    EXPECT_TRUE(m_orders->isLoadingModel());
    advance(1000);
    step();
    EXPECT_TRUE(m_orderPort.reports.empty()) << "the load takes two seconds";
    advance(1500);
    step();
    EXPECT_EQ(m_orderPort.reports.size(), 1U);
}

}

}
