#include "cluster/messages/fleet.h"
#include "core/random.h"
#include "policy/transferpacer.h"
#include "serving/interfaces/servingsettings.h"
#include "serving/loading/replicaorders.h"
#include "serving/membership/fleetmembers.h"
#include "serving/membership/pollintervals.h"
#include "serving/membership/recordmirror.h"
#include "serving/membership/versionrecords.h"
#include "serving/replicas/adapterversions.h"
#include "serving/replicas/residencymap.h"
#include "tests/fakes/dispatchfixture.h"
#include "tests/fakes/servingfakes.h"
#include "tests/fakes/versionfleet.h"

#include <gtest/gtest.h>

namespace vanillaspar::serving
{

namespace
{

constexpr Collection kind = Collection::AdapterVersions;
constexpr Millis limit(5000);

/** A host's copy of the versions, whose store and peers the test plays. */
class ReviewVersion : public testing::Test
{
protected:
    void SetUp() override
    {
        m_clock.setNow(Millis(100000));
        m_versions.setLimit(limit);
        m_settings.host = HostId("h1");
    }
    static StoredRecord announced(const std::string &weights, int64_t version, int64_t revision)
    {
        return {weights, at(revision), version, false};
    }
    void advance(int64_t millis)
    {
        m_clock.setNow(m_clock.now() + Millis(millis));
    }
    /** A proof of a peer whose copy is fresh at this moment. */
    void prove(int64_t revision)
    {
        const uint64_t round = m_members.beginRound(false, m_clock.now());
        m_records.onProof({round, Incarnation("x"), {revision, 0}}, m_members);
    }

    VirtualClock m_clock;
    Random m_random {1};
    FakeLog m_log;
    FakeStore m_store;
    FakeDecoder m_decoder;
    ServingSettings m_settings;
    FleetMembers m_members {m_settings, Incarnation("x")};
    AdapterVersions m_versions;
    ResidencyMap m_residency;
    VersionRecords m_records {m_store, m_decoder, m_clock, m_random, m_log, m_versions, m_residency};
};

TEST_F(ReviewVersion, ACopyIsNoFresherThanTheFirstPageOfItsList)
{
    m_records.tick();
    const Millis firstPageSentAt = m_clock.now();
    advance(900);
    m_store.answer(kind, {StoreResult::Done, {announced("m/a1", 1, 3)}, true, at(10)});
    // Version 2 of m/a1 is announced now; the list will not show it.
    advance(900);
    m_store.answer(kind, {StoreResult::Done, {announced("m/b1", 1, 4)}, false, at(11)});
    EXPECT_LE(m_records.freshAsOf(), firstPageSentAt);
}

TEST_F(ReviewVersion, TheNewestRevisionProvesNothingToACopyFromPagesOfTwoMoments)
{
    m_records.tick();
    m_store.answer(kind, {StoreResult::Done, {announced("m/a1", 1, 3)}, true, at(10)});
    const Millis supersededAt = m_clock.now(); // m/a1@2 as revision 11, then m/b1@2 as revision 12
    advance(10);
    m_store.answer(kind, {StoreResult::Done, {announced("m/b1", 2, 12)}, false, at(12)});
    // The watch from revision 10 stays silent, and the leader, which knows both, goes on proving.
    bool hasAsked = false;
    while (m_clock.now() < supersededAt + limit) {
        prove(12);
        m_records.tick();
        const FakeStore::Read *read = m_store.open(kind);
        hasAsked = hasAsked || (read != nullptr && read->wait < Millis(100));
        advance(100);
    }
    EXPECT_TRUE(hasAsked) << "it took the proofs for its own copy, which lacks m/a1@2";
    m_store.answer(kind, {StoreResult::Done, {announced("m/a1", 2, 11)}, false, at(12)});
    EXPECT_EQ(m_versions.minimumVersion("m/a1", m_clock.now()), 2) << "5 s after its announcement, the grace starts";
}

TEST_F(ReviewVersion, AnAnswerThatIsSlowAndWasNotHeldDatesNoChange)
{
    m_records.setIntervals(leafPolling, false);
    m_records.tick();
    m_store.answer(kind, {StoreResult::Done, {}, false, at(10)});
    m_records.tick();
    advance(500);
    m_store.answer(kind, {StoreResult::Done, {announced("m/b1", 2, 12)}, false, at(12)});
    advance(10);
    const Millis supersededAt = m_clock.now(); // m/a1@2 is announced between two watches
    advance(990);
    m_records.tick();
    advance(150); // a way of 75 ms each
    m_store.answer(kind, {StoreResult::Done, {announced("m/a1", 2, 13)}, false, at(13)});
    EXPECT_LE(m_records.mirror().changesSince(), supersededAt);
    EXPECT_LE(m_versions.latestBegin("m/a1", 1), supersededAt + limit);
}

TEST_F(ReviewVersion, AnAnswerThatLayInItsSocketDatesNoChange)
{
    m_records.tick();
    m_store.answer(kind, {StoreResult::Done, {}, false, at(10)});
    m_records.tick();
    advance(3000);
    const Millis supersededAt = m_clock.now(); // the store answers; the answer is on its way, or unread, for 700 ms
    advance(700);
    m_store.answer(kind, {StoreResult::Done, {announced("m/a1", 2, 13)}, false, at(13)});
    EXPECT_LE(m_versions.latestBegin("m/a1", 1), supersededAt + limit);
}

TEST_F(ReviewVersion, ADeletedAnnouncementDoesNotMakeANewHostAskForever)
{
    m_records.tick();
    m_store.answer(kind,
                   {StoreResult::Done, {}, false, at(30)}); // revision 20 announced m/a1@2, revision 25 removed it
    int refreshes = 0;
    for (int i = 0; i < 20; ++i) {
        prove(20); // of hosts that had read it
        m_records.tick();
        const FakeStore::Read *read = m_store.open(kind);
        if (read != nullptr && read->isWatch && read->wait < Millis(100)) {
            ++refreshes;
            m_store.answer(kind, {StoreResult::Done, {}, false, at(30)});
        }
        advance(500);
    }
    EXPECT_LE(refreshes, 3);
}

TEST(ReviewResidency, AReportOfASilentOwnerDoesNotStandForEverAgainstWhatTheReplicaSaid)
{
    ResidencyMap residency;
    residency.onDiscovered(makeBackend("e1", "engines", {{"m/a1", 1}}), Millis(0));
    residency.onResidencyReport({ReplicaId("e1"), HostId("h1"), 1, 1, {{"m/a1", 2, 0}}}, Millis(1000));
    residency.onDiscovered(makeBackend("e1", "engines", {{"m/a1", 1}}), Millis(3000)); // its owner is frozen since
    // The replica's entry doesn't change any more.
    residency.tick(Millis(20000));
    EXPECT_EQ(residency.find(ReplicaId("e1"), "m/a1")->version, 1);
}

/** Orders of one replica that holds m/a1@4 and is just replacing it by version 5 when version 6 is announced. */
class ReviewOrders : public testing::Test
{
protected:
    void SetUp() override
    {
        m_versions.announce("m/a1", 5, Millis(2000));
        m_versions.announce("m/a1", 6, Millis(6000));
        step();
        answerReport();
        m_orders->onAdapterRequest({ReplicaId("r"), "m/a1", 6, 1, false}, m_now);
        step();
    }
    void step()
    {
        m_orders->evaluatePendingLoads(m_residency, m_now);
        m_orders->sendNextOrder(
            {m_backend, *m_config.pools.at(PoolId("engines")).engine, m_versions, HostId("h1"), Epoch(5), true, true},
            m_now);
    }
    /** What the replica says all the while: it has accepted two orders, and the load of version 5 is under way. */
    void answerReport()
    {
        EngineResidency residency;
        residency.models = {{"m", 1}};
        residency.adapters = {{"m/a1", 4}};
        residency.pending = {{"m/a1", 5}};
        residency.orderCount = 2;
        while (!m_orderPort.reports.empty()) {
            m_orderPort.answerReport(residency);
        }
    }

    ServingConfig m_config = makeConfig();
    Backend m_backend = makeBackend("r", "engines");
    AdapterVersions m_versions;
    FakeOrders m_orderPort;
    FakeLog m_log;
    TransferPacer m_transferPacer;
    ResidencyMap m_residency;
    Millis m_now {10000};
    std::unique_ptr<ReplicaOrders> m_orders
        = std::make_unique<ReplicaOrders>(ReplicaId("r"), m_orderPort, m_log, m_transferPacer, 100, [] {});
};

TEST_F(ReviewOrders, AnOrderThatMeetsAnOlderLoadUnderWayShowsNoNewerVersion)
{
    while (!m_orderPort.orders.empty()) {
        m_orderPort.answer(OrderResult::Accepted); // 202: a load of m/a1 is being carried out
    }
    const std::optional<ResidencyReport> report = m_orders->takeReport(m_backend, HostId("h1"), m_now);
    ASSERT_TRUE(report);
    for (const ResidentAdapter &adapter : report->adapters) {
        EXPECT_TRUE(adapter.weights != "m/a1" || adapter.version <= 5) << "told to be version " << adapter.version;
    }
}

TEST_F(ReviewOrders, AnOrderThatWasConfirmedAndNotCountedDoesNotEndAllOrders)
{
    while (!m_orderPort.orders.empty()) {
        m_orderPort.answer(OrderResult::Accepted); // 202, and the replica's count stays 2
    }
    m_orders->onAdapterRequest({ReplicaId("r"), "m/a2", 0, 1, false}, m_now);
    step();
    while (!m_orderPort.orders.empty()) {
        m_orderPort.answer(OrderResult::Conflict); // as the order names 3
    }
    bool hasOrdered = false;
    for (int i = 0; i < 200 && !hasOrdered; ++i) {
        m_now += Millis(50);
        m_orders->onAdapterRequest({ReplicaId("r"), "m/a2", 0, 1, false}, m_now);
        step();
        answerReport();
        hasOrdered = !m_orderPort.orders.empty();
    }
    EXPECT_TRUE(hasOrdered) << "for 10 s every report was taken for older than the count";
}

/** Requests that wait in engines with version 1 of m/a1 when version 2 is announced. */
class ReviewWithdrawal : public DispatchFixture, public testing::Test
{
protected:
    ReviewWithdrawal() : DispatchFixture(1)
    {
    }
    void SetUp() override
    {
        startDispatch(Millis(1000000));
        m_versions.setLimit(limit);
    }
};

TEST_F(ReviewWithdrawal, AHealthyReplicaIsNotAvoidedForWhatTheHostWithdrew)
{
    for (uint64_t exchange = 1; exchange <= 6; ++exchange) {
        m_dispatcher.onRequest(makeRequest(exchange, "/s/x", "m/a1", m_clock.now()));
    }
    ASSERT_EQ(m_attempts.sent.size(), 6U);
    m_versions.announce("m/a1", 2, m_clock.now());
    m_clock.setNow(m_clock.now() + Millis(4600));
    m_dispatcher.tick();
    EXPECT_EQ(m_log.count(EventCode::RequestWithdrawn), 6);
    for (const std::string id : {"e1", "e2"}) {
        // LoadCoordinator::sendDueOrder() orders nothing, not even version 2, at a replica that is avoided.
        EXPECT_LE(m_backends.find(ReplicaId(id))->avoidUntil, m_clock.now()) << id;
    }
}

TEST(ReviewFleet, LeafHostsOfACalmFleetAskTheStoreSeldom)
{
    VersionFleetSetup setup;
    setup.hosts = 75;
    VersionFleet fleet(setup, 1);
    const int64_t before = fleet.versionCalls();
    constexpr int64_t seconds = 20;
    fleet.play(Millis(seconds * 1000));
    const double perHostAndSecond
        = static_cast<double>(fleet.versionCalls() - before) / static_cast<double>(setup.hosts * seconds);
    RecordProperty("perHostAndSecond", std::to_string(perHostAndSecond));
    EXPECT_LT(perHostAndSecond, 0.1) << "a leaf host's watch is held for 25 s";
}

TEST(ReviewFleet, ARequestAtAReplicaThatDoesNotDropItOnACloseDoesNotBeginAfterTheLimit)
{
    for (uint64_t seed = 1; seed <= 3; ++seed) {
        VersionFleet fleet({}, seed);
        for (size_t i = 0; i < fleet.engineCount(); ++i) {
            fleet.ignoreCloses(i);
        }
        fleet.loseOrders(Millis(10000));
        fleet.announce(0);
        fleet.play(Millis(2000));
        for (size_t i = 0; i < fleet.engineCount(); ++i) {
            fleet.stall(i, Millis(4500));
        }
        fleet.play(Millis(9000));
        EXPECT_TRUE(fleet.violations().empty()) << "seed " << seed << "\n" << fleet.describeViolations();
    }
}

TEST(ReviewFleet, ALeafHostHearsOfAVersionInTimeBesideSilentCalls)
{
    VersionFleetSetup setup;
    setup.hosts = 24; // 6 hubs
    for (uint64_t seed = 1; seed <= 4; ++seed) {
        VersionFleet fleet(setup, seed);
        fleet.play(Millis(3000 + static_cast<int64_t>(seed) * 130));
        for (size_t i = 0; i < fleet.hostCount(); ++i) {
            fleet.silenceCalls(i);
        }
        fleet.announce(0);
        fleet.play(Millis(14000));
        EXPECT_TRUE(fleet.violations().empty()) << "seed " << seed << "\n" << fleet.describeViolations();
    }
}

}

}
