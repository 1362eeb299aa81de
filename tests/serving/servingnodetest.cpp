#include "serving/servingnode.h"

#include "core/hash.h"
#include "serving/loadcoordinator.h"
#include "tests/fakes/servingnodefixture.h"

#include <gtest/gtest.h>

namespace vanillaspar::serving
{

namespace
{

TEST_F(ServingNodeTest, IsReadyOnceAllIsRead)
{
    EXPECT_FALSE(m_node->isReady());
    EXPECT_FALSE(isServed());
    load();
    EXPECT_TRUE(m_node->isReady());
    EXPECT_TRUE(isServed());
    EXPECT_EQ(m_node->callerAddresses(DomainId("a")), std::vector<std::string> {"10.0.0.1:8000"});
}

TEST_F(ServingNodeTest, WithoutProofKeysAreRefusedWithinTheLimit)
{
    load();
    advance(4000, false);
    EXPECT_TRUE(isServed()) << "requests are served through an outage of a few seconds";
    advance(1000, false);
    EXPECT_FALSE(isServed());
    EXPECT_EQ(m_callers.answers[m_exchange].refusal->code, RefusalCode::Unconfirmed);
    EXPECT_EQ(m_callers.answers[m_exchange].refusal->runState, RunState::NotRun);
}

TEST_F(ServingNodeTest, APeersProofKeepsKeysInUse)
{
    load();
    for (uint64_t i = 1; i <= 100; ++i) {
        advance(100, false);
        m_node->onPeerMessage(HostId("h2"), makeHeartbeat(i, 10, 500));
    }
    EXPECT_TRUE(isServed());
}

TEST_F(ServingNodeTest, APeersProofOfANewerConfigurationIsNoProofOfThisOne)
{
    load();
    for (uint64_t i = 1; i <= 100; ++i) {
        advance(100, false);
        m_node->onPeerMessage(HostId("h2"), makeHeartbeat(i, 15, 500));
    }
    EXPECT_FALSE(isServed());
}

TEST_F(ServingNodeTest, ALateBeatProvesNoMoreThanItsRoundAllows)
{
    load();
    advance(100, false);
    const HostHeartbeat held = makeHeartbeat(1, 10, 0); // made now, delayed by the network for six seconds
    advance(6000, false);
    m_node->onPeerMessage(HostId("h2"), held);
    EXPECT_FALSE(isServed());
}

TEST_F(ServingNodeTest, AfterASuspensionKeysNeedANewProof)
{
    load();
    advance(100, true);
    m_clock.setNow(m_clock.now() + Millis(8000)); // nothing ran meanwhile
    EXPECT_FALSE(isServed()) << "a request may be the first thing that the process reads after a suspension";
}

TEST_F(ServingNodeTest, ANewerRevisionInABeatIsFetchedAtOnce)
{
    load();
    advance(100, false);
    m_node->onPeerMessage(HostId("h2"), makeHeartbeat(1, 15, 0));
    FakeStore::Read *read = m_store.open(Collection::Configuration);
    ASSERT_NE(read, nullptr);
    EXPECT_EQ(read->wait, Millis(1));
    m_store.answer(Collection::Configuration, {StoreResult::Done, {{"main", at(15), 1, false}}, false, at(25)});
    EXPECT_FALSE(isServed());
    EXPECT_EQ(m_callers.answers[m_exchange].refusal->code, RefusalCode::Unauthenticated);
}

TEST_F(ServingNodeTest, AConfigurationThatCantBeReadLeavesTheLastOneInForce)
{
    load();
    advance(50, false);
    m_store.answer(Collection::Configuration, {StoreResult::Done, {{"main", at(16), nullptr, false}}, false, at(26)});
    EXPECT_EQ(m_log.count(EventCode::ConfigRejected), 1);
    EXPECT_TRUE(isServed());
}

TEST_F(ServingNodeTest, EntriesThatLapsedInAnOutageStayForAMoment)
{
    load();
    advance(100, false);
    m_store.answer(Collection::Backends, {StoreResult::Unknown, {}, false, at(0)});
    // An entry expires when its server has missed three heartbeats. Keys are served meanwhile because the other host
    // confirms the configuration.
    for (uint64_t sequence = 1; sequence < 41; ++sequence) {
        advance(100, false);
        m_store.answer(Collection::Backends, {StoreResult::Unknown, {}, false, at(0)});
        m_node->onPeerMessage(HostId("h2"), makeHeartbeat(sequence, 10, static_cast<int64_t>(sequence) * 100));
    }
    answerRemoved("s1");
    EXPECT_TRUE(isServed());
    advance(1000, true);
    EXPECT_TRUE(isServed());
    advance(1300, true);
    EXPECT_FALSE(isServed()) << "an entry that isn't written again within two seconds is removed";
}

TEST_F(ServingNodeTest, AReplicaThatLeftWhileTheStoreRefusedThisHostStaysOut)
{
    // Guards against taking a refusal of this host alone for an outage: replicas leave meanwhile, and other hosts
    // report it.
    load();
    advance(100, false);
    m_store.answer(Collection::Backends, {StoreResult::Failed, {}, false, at(0)});
    advance(500, false);
    HostHeartbeat leavingReport = makeHeartbeat(1, 10, 0);
    leavingReport.leaving = {shortHash("s1")};
    m_node->onPeerMessage(HostId("h2"), leavingReport);
    ASSERT_FALSE(isServed());
    for (uint64_t sequence = 2; sequence < 70; ++sequence) {
        advance(100, false);
        m_store.answer(Collection::Backends, {StoreResult::Failed, {}, false, at(0)});
        m_node->onPeerMessage(HostId("h2"), makeHeartbeat(sequence, 10, 0));
        ASSERT_FALSE(isServed()) << "this host has no newer entry from the store, round " << sequence;
    }
    answerRemoved("s1");
    for (uint64_t sequence = 70; sequence < 100; ++sequence) {
        advance(100, true);
        ASSERT_FALSE(isServed()) << "its entry was removed while the store answered other hosts, round " << sequence;
    }
}

TEST_F(ServingNodeTest, AnEntryThatIsMissingAfterOnlyThisHostWasRefusedIsGone)
{
    load();
    advance(100, false);
    m_store.answer(Collection::Backends, {StoreResult::Failed, {}, false, at(0)});
    for (uint64_t sequence = 1; sequence < 40; ++sequence) {
        advance(100, false);
        m_store.answer(Collection::Backends, {StoreResult::Failed, {}, false, at(0)});
        m_node->onPeerMessage(HostId("h2"), makeHeartbeat(sequence, 10, 0));
    }
    answerRemoved("s1");
    EXPECT_FALSE(isServed()) << "the other host's freshness shows that the store has been available for seconds";
}

TEST_F(ServingNodeTest, AHubStaysReadyWhileTheStoreHoldsItsWatches)
{
    // Guards against judging contact with the store by a copy's freshness: hubs whose watches were merely held
    // considered themselves cut off for three seconds in five, and their leaf hosts polled the store themselves.
    load();
    const nlohmann::json first {{"domain", "c"}, {"peer", "10.0.0.3:7600"}, {"caller", "10.0.0.3:8000"}};
    advance(1000, false);
    ASSERT_NE(m_store.open(Collection::Coordination), nullptr);
    m_store.answer(Collection::Coordination, {StoreResult::Done, {{"host.h0", at(21), first, false}}, false, at(21)});
    uint64_t call = 0;
    Millis sentAt;
    for (uint64_t sequence = 1; sequence < 200; ++sequence) {
        for (int step = 0; step < 10; ++step) {
            advance(10, false);
            const FakeStore::Read *read = m_store.open(Collection::Configuration);
            if (read != nullptr && read->call != call) {
                call = read->call;
                sentAt = m_clock.now();
            }
            if (read != nullptr && m_clock.now() - sentAt >= read->wait) {
                m_store.answer(Collection::Configuration, {StoreResult::Done, {}, false, at(30)});
            }
        }
        m_node->onPeerMessage(HostId("h0"), makeHeartbeat(sequence, 10, 500));
        ASSERT_TRUE(m_node->isReady()) << "round " << sequence;
        ASSERT_TRUE(lastHeartbeat().reachesStore) << "round " << sequence;
    }
}

TEST_F(ServingNodeTest, AnEntryThatIsRemovedInCalmGetsNoMoreWork)
{
    load();
    advance(100, false);
    m_store.answer(Collection::Backends, {StoreResult::Done, {{"s1", at(30), nullptr, true}}, false, at(30)});
    EXPECT_FALSE(isServed());
}

TEST_F(ServingNodeTest, AnUnreadableEntryNamesNoReplica)
{
    load();
    advance(100, false);
    m_store.answer(Collection::Backends, {StoreResult::Done, {{"s1", at(30), nullptr, false}}, false, at(30)});
    EXPECT_EQ(m_log.count(EventCode::StoreRecordRejected), 1);
    EXPECT_FALSE(isServed());
}

TEST_F(ServingNodeTest, TheFirstHostSharesOutTheReplicas)
{
    load();
    advance(3000, true);
    ASSERT_EQ(m_written.count("owners"), 1U);
    EXPECT_EQ(m_written["owners"]["replicas"]["e1"]["host"], "h1");
    EXPECT_EQ(m_written.count("host.h1"), 1U);
}

TEST_F(ServingNodeTest, ATakenOverReplicaIsNotOrderedBeforeTheOtherOwnerHasStopped)
{
    load();
    advance(100, true);
    makeOwner(true);
    // The previous owner sends orders for at most 7 s after its record was last known to be current; then the lease of
    // 3 s must pass.
    advance(9900, true);
    EXPECT_EQ(m_orders.reportCount, 0);
    advance(600, true);
    EXPECT_EQ(m_orders.reportCount, 1);
}

TEST_F(ServingNodeTest, AnOwnerWithoutProofStopsOrdering)
{
    load();
    advance(100, true);
    makeOwner(false);
    advance(200, true);
    ASSERT_EQ(m_orders.reportCount, 1);
    EngineResidency residency = m_decoder.backends[0].residency;
    m_orders.answerReport(residency);
    m_clock.setNow(m_clock.now() + Millis(8000)); // a suspension
    m_node->onPeerMessage(HostId("h2"), AdapterRequest {ReplicaId("e1"), "m/a7", 0, 1, false});
    EXPECT_TRUE(m_orders.orders.empty());
    advance(100, true);
    m_node->onPeerMessage(HostId("h2"), AdapterRequest {ReplicaId("e1"), "m/a7", 0, 1, false});
    EXPECT_EQ(m_orders.orders.size(), 1U);
}

TEST_F(ServingNodeTest, ASilentHostsShareIsFreeOnceItCantAdmitAnything)
{
    // h2 is never heard. Without the store it can admit requests for as long as the revocation limit.
    load();
    advance(100, true);
    m_node->onPeerMessage(HostId("h2"), makeHeartbeat(1, 10, 0));
    const auto isRemoved = [this] {
        const auto written = m_written.find("host.h2"); // a removal writes null
        return written != m_written.end() && written->second.is_null();
    };
    advance(m_settings.revokeLimit.value, true);
    EXPECT_FALSE(isRemoved());
    advance(2500, true);
    EXPECT_TRUE(isRemoved());
}

TEST_F(ServingNodeTest, AnUnansweredOrderIsNotRepeatedAfterTheLease)
{
    load();
    advance(100, true);
    makeOwner(false);
    advance(200, true);
    m_orders.answerReport(m_decoder.backends[0].residency);
    m_node->onPeerMessage(HostId("h2"), AdapterRequest {ReplicaId("e1"), "m/a7", 0, 1, false});
    ASSERT_EQ(m_orders.orders.size(), 1U);
    m_clock.setNow(m_clock.now() + Millis(8000)); // the host was suspended while it waited for the answer
    m_orders.answer(OrderResult::Unknown);
    EXPECT_TRUE(m_orders.orders.empty()) << "another host may own the replica meanwhile";
}

TEST_F(ServingNodeTest, AReplicaGetsNoWorkFromWhenAnotherHostSaysThatItLeaves)
{
    load();
    advance(100, true);
    ASSERT_TRUE(isServed());
    HostHeartbeat leavingReport = makeHeartbeat(1, 10, 0);
    leavingReport.leaving = {shortHash("s1")};
    m_node->onPeerMessage(HostId("h2"), leavingReport);
    EXPECT_FALSE(isServed()) << "its changed entry may be read seconds later";
    EXPECT_EQ(lastHeartbeat().leaving.size(), 0U);
    advance(100, false);
    EXPECT_EQ(lastHeartbeat().leaving.size(), 1U) << "other hosts may get reports from this host only";
    // Guards against an older entry, read after the report, that made the replica usable again.
    m_store.answer(Collection::Backends, {StoreResult::Done, {{"s1", at(21), 1, false}}, false, at(21)});
    EXPECT_FALSE(isServed());
}

TEST_F(ServingNodeTest, AReplicaThatLeavesWhileItLoadsItsModelIsNoLoadAnyMore)
{
    load();
    advance(100, true);
    makeOwner(false);
    advance(200, true);
    ASSERT_EQ(m_orders.reports.size(), 1U);
    m_orders.answerReport(EngineResidency {});
    advance(20, true);
    ASSERT_EQ(m_orders.orders.size(), 1U);
    m_orders.answer(OrderResult::Accepted);
    advance(200, true);
    EXPECT_EQ(lastHeartbeat().modelLoads, 1);
    m_node->tick();
    m_store.answer(Collection::Backends, {StoreResult::Done, {{"e1", at(50), nullptr, true}}, false, at(50)});
    advance(200, true);
    EXPECT_EQ(lastHeartbeat().modelLoads, 0) << "two such loads would prevent all hosts from ordering another one";
}

TEST_F(ServingNodeTest, AHostThatHasJustStartedWaitsForItsShareOfTheModelLoadRate)
{
    // The process before it may have ordered a load a moment ago.
    load();
    makeOwner(false);
    advance(20, true);
    ASSERT_EQ(m_orders.reports.size(), 1U);
    m_orders.answerReport(EngineResidency {});
    advance(150, true);
    EXPECT_EQ(m_orders.orders.size(), 0U) << "five loads a second for all hosts";
    advance(150, true);
    EXPECT_EQ(m_orders.orders.size(), 1U);
}

TEST_F(ServingNodeTest, AStoppingHostLeavesTheAddressListAndServesOn)
{
    load();
    m_node->beginDrain();
    EXPECT_FALSE(m_node->isReady());
    EXPECT_TRUE(isServed());
    advance(3400, true);
    EXPECT_FALSE(m_node->isDrained()) << "callers may use an address for up to three times its validity";
    advance(200, true);
    EXPECT_TRUE(m_node->isDrained());
}

TEST_F(ServingNodeTest, AStoppingHostWaitsForOpenRequests)
{
    load();
    m_node->onRequest(makeRequest(1, "/s/x", "m/a1", m_clock.now()));
    m_node->beginDrain();
    advance(4000, true);
    EXPECT_FALSE(m_node->isDrained());
    m_node->dispatcher().onCallerGone(1);
    EXPECT_TRUE(m_node->isDrained());
}

TEST_F(ServingNodeTest, AStoppingHostTakesNoStreamThatItMayHaveToCut)
{
    // Guards against accepting a stream that can't end in time: one accepted 4.8 s after SIGTERM was cut when the
    // shutdown grace of 8 s ended.
    load();
    m_node->onRequest(makeRequest(1, "/s/x", "m/a1", m_clock.now()));
    m_node->beginDrain();
    advance(3000, true);
    const size_t before = m_attempts.sent.size();
    m_node->onRequest(makeRequest(2, "/s/x", "m/a1", m_clock.now()));
    EXPECT_EQ(m_attempts.sent.size(), before);
    ASSERT_TRUE(m_callers.answers[2].refusal.has_value());
    EXPECT_EQ(m_callers.answers[2].refusal->runState, RunState::NotRun);
    EXPECT_TRUE(isServed()) << "a short request ends in time";
}

TEST_F(ServingNodeTest, AStoppingHostTakesNoBookingThatMayOutlastItsGrace)
{
    ServingConfig config = makeConfig();
    for (Route &route : config.routes) {
        route.timeout = Millis(6000);
    }
    m_decoder.configs[0] = std::make_shared<ServingConfig>(config);
    load();
    m_node->beginDrain();
    advance(3000, true);
    m_node->onRequest(makeRequest(1, "/b/x", {}, m_clock.now()));
    EXPECT_TRUE(m_attempts.sent.empty());
    ASSERT_TRUE(m_callers.answers[1].refusal);
    EXPECT_EQ(m_callers.answers[1].refusal->runState, RunState::NotRun);
    ClientRequest hurried = makeRequest(2, "/b/x", {}, m_clock.now());
    hurried.callerTimeout = Millis(1000);
    m_node->onRequest(std::move(hurried));
    EXPECT_EQ(m_attempts.sent.size(), 1U) << "its caller waits for less than what is left";
}

TEST_F(ServingNodeTest, AStoppingHostAnswersEveryRequestBeforeItsProcessEnds)
{
    ServingConfig config = makeConfig();
    for (Route &route : config.routes) {
        route.timeout = Millis(60000);
    }
    m_decoder.configs[0] = std::make_shared<ServingConfig>(config);
    load();
    constexpr uint64_t requests = 300;
    for (uint64_t exchange = 1; exchange <= requests; ++exchange) {
        ClientRequest request = makeRequest(exchange, "/b/x", {}, m_clock.now());
        request.callerTimeout = Millis(60000);
        m_node->onRequest(std::move(request)); // some are sent, the others wait for a slot
    }
    const size_t sent = m_attempts.sent.size();
    m_node->beginDrain();
    for (int i = 0; i < 1000 && !m_node->isDrained(); ++i) {
        advance(10, true);
    }
    ASSERT_TRUE(m_node->isDrained());
    EXPECT_GT(sent, 0U);
    EXPECT_LT(sent, requests);
    for (uint64_t exchange = 1; exchange <= requests; ++exchange) {
        EXPECT_TRUE(m_callers.answers[exchange].refusal) << exchange << " is cut without an answer";
    }
    const auto unknown = std::count_if(m_callers.answers.begin(), m_callers.answers.end(), [](const auto &entry) {
        return entry.second.refusal && entry.second.refusal->runState == RunState::Unknown;
    });
    EXPECT_EQ(static_cast<size_t>(unknown), sent) << "what was sent may have run, and nothing else";
}

TEST_F(ServingNodeTest, AHostThatIsSilentOrStoppingIsNotGivenToCallers)
{
    load();
    advance(100, true);
    m_node->onPeerMessage(HostId("h2"), makeHeartbeat(1, 10, 0));
    EXPECT_EQ(m_node->callerAddresses(DomainId("a")).size(), 2U);
    HostHeartbeat stopping = makeHeartbeat(2, 10, 0);
    stopping.isStopping = true;
    m_node->onPeerMessage(HostId("h2"), stopping);
    EXPECT_EQ(m_node->callerAddresses(DomainId("a")).size(), 1U);
    m_node->onPeerMessage(HostId("h2"), makeHeartbeat(3, 10, 0));
    EXPECT_EQ(m_node->callerAddresses(DomainId("a")).size(), 2U);
    advance(800, true);
    EXPECT_EQ(m_node->callerAddresses(DomainId("a")).size(), 1U);
}

TEST_F(ServingNodeTest, ALostHostsRecordIsRemovedAndWrittenAgainByItsHost)
{
    load();
    advance(16000, true);
    ASSERT_EQ(m_written.count("host.h2"), 1U);
    EXPECT_TRUE(m_written["host.h2"].is_null());
}

}

}
