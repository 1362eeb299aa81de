#include "serving/loading/replicaorders.h"

#include "cluster/messages/fleet.h"
#include "policy/transferpacer.h"
#include "serving/replicas/adapterversions.h"
#include "serving/replicas/residencymap.h"
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
        return std::make_unique<ReplicaOrders>(ReplicaId("r"), m_orderPort, m_log, m_transferPacer, 100, [] {});
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
        m_orders->evaluatePendingLoads(m_residency, m_now);
        m_orders->sendNextOrder({m_backend, *m_config.pools.at(PoolId("engines")).engine, m_versions, HostId("h1"),
                                 Epoch(5), true, m_mayTransfer},
                                m_now);
    }
    void request(const std::string &weights)
    {
        m_orders->onAdapterRequest({ReplicaId("r"), weights, 0, 1, false}, m_now);
    }
    void advance(int64_t millis)
    {
        m_now += Millis(millis);
    }
    /** Lets the replica unload its least used adapter, so that a slot is free. */
    void freePlace()
    {
        request("m/a0");
        step();
        ASSERT_EQ(m_orderPort.orders.size(), 1U);
        m_orderPort.answer(OrderResult::Completed);
        advance(600); // the request that made room isn't repeated
    }
    /** @return whether the next residency report says that the adapter can be used. */
    bool isReported(const std::string &weights)
    {
        advance(1000);
        const std::optional<ResidencyReport> report = m_orders->takeReport(m_backend, HostId("h1"), m_now);
        m_now -= Millis(1000);
        return report && std::any_of(report->adapters.begin(), report->adapters.end(), [&](const auto &adapter) {
                   return adapter.weights == weights && adapter.readyInMs == 0;
               });
    }

    ServingConfig m_config = makeConfig();
    Backend m_backend = makeBackend("r", "engines");
    AdapterVersions m_versions;
    FakeOrders m_orderPort;
    FakeLog m_log;
    TransferPacer m_transferPacer;
    ResidencyMap m_residency;
    bool m_mayTransfer = true;
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

TEST_F(ReplicaOrdersTest, AnOrderWithoutAnswerIsRepeatedWithTheSameCount)
{
    // Both orders expect the same count, so that at most one of them is carried out, however late it arrives.
    advance(1000);
    request("m/a4");
    step();
    const EngineOrder first = m_orderPort.orders[0].order;
    m_orderPort.answer(OrderResult::Unknown);
    step();
    ASSERT_EQ(m_orderPort.orders.size(), 1U);
    EXPECT_EQ(m_orderPort.orders[0].order.isLoad, first.isLoad);
    EXPECT_EQ(m_orderPort.orders[0].order.weights, first.weights);
    EXPECT_EQ(m_orderPort.orders[0].order.expectedOrderCount, first.expectedOrderCount);
    m_orderPort.answer(OrderResult::Completed);
    step();
    ASSERT_EQ(m_orderPort.orders.size(), 1U);
    EXPECT_EQ(m_orderPort.orders[0].order.expectedOrderCount, 8) << "one of the two was carried out";
}

// The conflict says only that some order was carried out; a late one may have taken the slot.
TEST_F(ReplicaOrdersTest, ARepeatedLoadThatConflictsIsNotTakenForAccepted)
{
    advance(1000);
    freePlace();
    request("m/a4");
    step();
    m_orderPort.answer(OrderResult::Unknown);
    step();
    m_orderPort.answer(OrderResult::Conflict);
    EXPECT_FALSE(isReported("m/a4")) << "the replica hasn't confirmed the load";
    advance(150);
    request("m/a4");
    step();
    EXPECT_TRUE(m_orderPort.orders.empty()) << "any order may exceed the slots until a report tells what they hold";
    ASSERT_EQ(m_orderPort.reports.size(), 1U);
    EngineResidency residency;
    residency.models = {{"m", 1}};
    residency.adapters = {{"m/a2", 1}, {"m/a3", 1}};
    residency.pending = {{"m/a9", 1}}; // ordered by the owner before
    residency.orderCount = 9;
    m_orderPort.answerReport(residency);
    request("m/a4");
    step();
    for (const FakeOrders::Order &sent : m_orderPort.orders) {
        EXPECT_FALSE(sent.order.isLoad && sent.order.weights == "m/a4") << "all slots are in use";
        EXPECT_EQ(sent.order.expectedOrderCount, 9);
    }
    EXPECT_FALSE(isReported("m/a4"));
    EXPECT_EQ(m_orders->adapterLoads(), 0);
}

// The report is made after the conflict, so an accepted load is used as soon as without one.
TEST_F(ReplicaOrdersTest, ARepeatedLoadThatWasAcceptedIsFoundInTheReport)
{
    advance(1000);
    freePlace();
    request("m/a4");
    step();
    m_orderPort.answer(OrderResult::Unknown);
    step();
    m_orderPort.answer(OrderResult::Conflict);
    advance(150);
    request("m/a4");
    step();
    ASSERT_EQ(m_orderPort.reports.size(), 1U);
    EngineResidency residency;
    residency.models = {{"m", 1}};
    residency.adapters = {{"m/a2", 1}, {"m/a3", 1}, {"m/a4", 1}};
    residency.orderCount = 9;
    m_orderPort.answerReport(residency);
    EXPECT_TRUE(isReported("m/a4"));
    request("m/a4");
    step();
    EXPECT_TRUE(m_orderPort.orders.empty());
}

TEST_F(ReplicaOrdersTest, AfterRepeatedOrdersWithoutAnswerItAsksWhatTheReplicaHolds)
{
    advance(1000);
    request("m/a4");
    step();
    for (int repeat = 0; repeat < 3; ++repeat) {
        m_orderPort.answer(OrderResult::Unknown);
        step();
        ASSERT_EQ(m_orderPort.orders.size(), 1U);
    }
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

TEST_F(ReplicaOrdersTest, AReportOlderThanTheLastOrderIsIgnored)
{
    // Guards against adapters that are loaded being forgotten, and the next order expecting a count of the past.
    advance(1000);
    freePlace();
    request("m/a4");
    step();
    m_orderPort.answer(OrderResult::Conflict);
    advance(500);
    reportResidency({{"m/a1", 1}, {"m/a2", 1}, {"m/a3", 1}}, 7);
    advance(500);
    step();
    EXPECT_TRUE(m_orderPort.orders.empty());
    ASSERT_EQ(m_orderPort.reports.size(), 1U) << "the replica had accepted an eighth order before";
}

TEST_F(ReplicaOrdersTest, ALoadIsCompleteWhenTheReplicaSaysSo)
{
    // The weight store is slow: the load takes 600 ms.
    advance(1000);
    freePlace();
    request("m/a4");
    step();
    m_orderPort.answer(OrderResult::Accepted);
    int checks = 0;
    for (Millis waited(0); waited < Millis(600); waited += Millis(10)) {
        advance(10);
        step();
        for (; !m_orderPort.orders.empty(); ++checks) {
            EXPECT_EQ(m_orderPort.orders[0].order.weights, "m/a4");
            EXPECT_EQ(m_orderPort.orders[0].order.expectedOrderCount, 9) << "a check that arrives late changes nothing";
            m_orderPort.answer(OrderResult::Accepted);
        }
        EXPECT_FALSE(isReported("m/a4"));
    }
    EXPECT_LE(checks, 25);
    advance(60);
    step();
    ASSERT_EQ(m_orderPort.orders.size(), 1U);
    m_orderPort.answer(OrderResult::Completed);
    EXPECT_TRUE(isReported("m/a4"));
    EXPECT_EQ(m_orders->adapterLoads(), 0);
    step();
    EXPECT_TRUE(m_orderPort.orders.empty());
}

TEST_F(ReplicaOrdersTest, ALoadFromTheReplicasOwnMemoryIsSeenSoon)
{
    advance(1000);
    freePlace();
    request("m/a4");
    step();
    m_orderPort.answer(OrderResult::Accepted);
    advance(40);
    step();
    ASSERT_EQ(m_orderPort.orders.size(), 1U);
    m_orderPort.answer(OrderResult::Completed);
    EXPECT_TRUE(isReported("m/a4"));
    EXPECT_EQ(m_transferPacer.expected(), Millis(250)) << "it says nothing about the weight store";
}

TEST_F(ReplicaOrdersTest, WhileTransfersArePacedOnlyAdaptersInTheReplicasMemoryAreLoaded)
{
    advance(1000);
    freePlace(); // unloads m/a1, which the replica keeps in its own memory
    m_mayTransfer = false;
    request("m/a4");
    step();
    EXPECT_TRUE(m_orderPort.orders.empty());
    request("m/a1");
    step();
    ASSERT_EQ(m_orderPort.orders.size(), 1U);
    EXPECT_EQ(m_orderPort.orders[0].order.weights, "m/a1");
}

TEST_F(ReplicaOrdersTest, AFirstCopyGoesBeforeAFurtherOne)
{
    // More requests wait for m/a5, but they can be served elsewhere.
    m_residency.onResidencyReport({ReplicaId("other"), HostId("h2"), 1, 1, {{"m", 0, 0}, {"m/a5", 1, 0}}}, m_now);
    advance(1000);
    freePlace();
    m_orders->onAdapterRequest({ReplicaId("r"), "m/a5", 0, 9, false}, m_now);
    m_orders->onAdapterRequest({ReplicaId("r"), "m/a4", 0, 1, false}, m_now);
    step();
    ASSERT_EQ(m_orderPort.orders.size(), 1U);
    EXPECT_EQ(m_orderPort.orders[0].order.weights, "m/a4");
}

TEST_F(ReplicaOrdersTest, ALoadThatCanStillBeInTimeGoesFirst)
{
    advance(1000);
    freePlace();
    m_orders->onAdapterRequest({ReplicaId("r"), "m/a4", 0, 0, false}, m_now); // all that wait for it are late
    advance(100);
    m_orders->onAdapterRequest({ReplicaId("r"), "m/a5", 0, 1, false}, m_now);
    step();
    ASSERT_EQ(m_orderPort.orders.size(), 1U);
    EXPECT_EQ(m_orderPort.orders[0].order.weights, "m/a5");
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

// An adapter whose unload could not be sent was neither used nor unloaded again, and its slot was lost.
TEST_F(ReplicaOrdersTest, AnAdapterWhoseUnloadWasNotSentStaysInUse)
{
    advance(1000);
    request("m/a4");
    step();
    ASSERT_EQ(m_orderPort.orders.size(), 1U);
    const std::string weights = m_orderPort.orders[0].order.weights;
    EXPECT_FALSE(isReported(weights));
    m_orderPort.answer(OrderResult::NotSent);
    EXPECT_TRUE(isReported(weights));
    advance(200);
    request("m/a4");
    step();
    ASSERT_EQ(m_orderPort.orders.size(), 1U);
    EXPECT_EQ(m_orderPort.orders[0].order.weights, weights);
}

// After an order without answer, a repetition that can't be sent doesn't tell that nothing is carried out.
TEST_F(ReplicaOrdersTest, AnUnloadWithoutAnswerWhoseRepetitionIsNotSentIsRepeatedAgain)
{
    advance(1000);
    request("m/a4");
    step();
    ASSERT_EQ(m_orderPort.orders.size(), 1U);
    const EngineOrder first = m_orderPort.orders[0].order;
    m_orderPort.answer(OrderResult::Unknown);
    step();
    m_orderPort.answer(OrderResult::NotSent);
    EXPECT_FALSE(isReported(first.weights));
    advance(200);
    step();
    ASSERT_EQ(m_orderPort.orders.size(), 1U);
    EXPECT_EQ(m_orderPort.orders[0].order.weights, first.weights);
    EXPECT_EQ(m_orderPort.orders[0].order.expectedOrderCount, first.expectedOrderCount);
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

// The replica fetched the new version before its owner heard of it, and doesn't count an order that already holds.
TEST_F(ReplicaOrdersTest, AReplacementThatAlreadyHoldsDoesNotRaiseTheCount)
{
    advance(1000);
    m_versions.announce("m/a2", 2, m_now);
    step();
    ASSERT_EQ(m_orderPort.orders.size(), 1U);
    m_orderPort.answer(OrderResult::Completed);
    EXPECT_TRUE(isReported("m/a2"));
    request("m/a4");
    step();
    EXPECT_TRUE(m_orderPort.orders.empty());
    ASSERT_EQ(m_orderPort.reports.size(), 1U) << "only the report tells the count";
    EngineResidency residency;
    residency.models = {{"m", 1}};
    residency.adapters = {{"m/a1", 1}, {"m/a2", 2}, {"m/a3", 1}};
    residency.orderCount = 7;
    m_orderPort.answerReport(residency);
    advance(200); // adapters are kept for a moment after a report
    request("m/a4");
    step();
    ASSERT_EQ(m_orderPort.orders.size(), 1U);
    EXPECT_EQ(m_orderPort.orders[0].order.expectedOrderCount, 7);
}

TEST_F(ReplicaOrdersTest, AModelThatIsAlreadyThereDoesNotRaiseTheCount)
{
    m_orders->reset();
    step();
    m_orderPort.answerReport(EngineResidency());
    step();
    ASSERT_EQ(m_orderPort.orders.size(), 1U);
    m_orderPort.answer(OrderResult::Completed);
    step();
    EXPECT_TRUE(m_orderPort.orders.empty());
    EXPECT_EQ(m_orderPort.reports.size(), 1U);
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
