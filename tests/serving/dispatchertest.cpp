#include "serving/dispatcher.h"

#include "cluster/messages/fleet.h"
#include "tests/fakes/dispatchfixture.h"

#include <gtest/gtest.h>

namespace vanillaspar::serving
{

namespace
{

class DispatcherTest : public testing::Test, protected DispatchFixture
{
protected:
    DispatcherTest() : DispatchFixture(1)
    {
    }
    void SetUp() override
    {
        startDispatch(Millis(1000000));
    }
    void send(uint64_t exchange, const std::string &target, const std::string &weights = {})
    {
        m_dispatcher.onRequest(makeRequest(exchange, target, weights, m_clock.now()));
    }
    void head(uint64_t attempt, int status, bool isSigned, bool wasNotExecuted = false)
    {
        HttpHead head;
        head.status = status;
        m_dispatcher.onAttemptHead(attempt, {head, isSigned, wasNotExecuted, false, false});
    }
    void advance(int64_t millis)
    {
        m_clock.setNow(m_clock.now() + Millis(millis));
        m_dispatcher.tick();
    }
    const FakeCallers::Answer &answer(uint64_t exchange)
    {
        return m_callers.answers[exchange];
    }
};

TEST_F(DispatcherTest, ABookingWhoseAnswerIsLostIsNeverSentAgain)
{
    send(1, "/b/x");
    ASSERT_EQ(m_attempts.sent.size(), 1U);
    m_dispatcher.onAttemptEnd(m_attempts.sent[0].attempt, UpstreamEnd::Broken);
    EXPECT_EQ(m_attempts.sent.size(), 1U);
    ASSERT_TRUE(answer(1).refusal);
    EXPECT_EQ(answer(1).refusal->runState, RunState::Unknown);
}

TEST_F(DispatcherTest, ABookingThatNeverLeftGoesElsewhere)
{
    send(1, "/b/x");
    m_dispatcher.onAttemptEnd(m_attempts.sent[0].attempt, UpstreamEnd::NotSent);
    ASSERT_EQ(m_attempts.sent.size(), 2U);
    EXPECT_NE(m_attempts.sent[1].replica, m_attempts.sent[0].replica);
}

TEST_F(DispatcherTest, ABookingThatAReplicaDidNotRunGoesElsewhere)
{
    send(1, "/b/x");
    head(m_attempts.sent[0].attempt, 503, false, true);
    m_dispatcher.onAttemptEnd(m_attempts.sent[0].attempt, UpstreamEnd::Complete);
    ASSERT_EQ(m_attempts.sent.size(), 2U);
    EXPECT_NE(m_attempts.sent[1].replica, m_attempts.sent[0].replica);
}

TEST_F(DispatcherTest, AnIdempotentRequestIsRepeatedOnAsManyReplicasAsItsRouteAllows)
{
    send(1, "/l/x");
    m_dispatcher.onAttemptEnd(m_attempts.sent[0].attempt, UpstreamEnd::Broken);
    ASSERT_EQ(m_attempts.sent.size(), 2U);
    m_dispatcher.onAttemptEnd(m_attempts.sent[1].attempt, UpstreamEnd::Broken);
    EXPECT_EQ(m_attempts.sent.size(), 2U);
    EXPECT_EQ(answer(1).refusal->runState, RunState::Unknown);
}

TEST_F(DispatcherTest, ARequestThatMayHaveRunIsNeverCalledNotRun)
{
    // One replica lost the response and the other one is leaving: none is left for a retry.
    Backend leaving = makeBackend("s2", "desk");
    leaving.isLeaving = true;
    m_backends.upsert(leaving, m_clock.now());
    ServingConfig config = makeConfig();
    config.teams[0].rate = 1000;
    config.teams[0].burst = 1000;
    m_admission.setConfig(std::make_shared<ServingConfig>(config), m_clock.now());
    advance(1000);
    send(1, "/l/x");
    ASSERT_EQ(m_attempts.sent.size(), 1U);
    m_dispatcher.onAttemptEnd(m_attempts.sent[0].attempt, UpstreamEnd::Broken);
    ASSERT_TRUE(answer(1).refusal);
    EXPECT_EQ(answer(1).refusal->runState, RunState::Unknown);
    EXPECT_EQ(answer(1).refusal->code, RefusalCode::OutcomeUnknown);
    EXPECT_EQ(m_admission.quotas().at(TeamId("house")).admitted(), 1)
        << "a request that may have been executed stays charged";
}

TEST_F(DispatcherTest, RepeatsStayWithinTheBudget)
{
    // The replicas refuse everything: without the budget each request would be sent four times.
    for (uint64_t exchange = 1; exchange <= 100; ++exchange) {
        send(exchange, "/l/x");
        while (!m_attempts.sent.empty() && !answer(exchange).refusal) {
            const uint64_t attempt = m_attempts.sent.back().attempt;
            head(attempt, 503, false, true);
            m_dispatcher.onAttemptEnd(attempt, UpstreamEnd::Complete);
            advance(30);
        }
    }
    EXPECT_LE(m_attempts.sent.size(), 100 + 0.2 * 100 + 5);
}

TEST_F(DispatcherTest, AnAnswerWithoutSignatureIsNotPassedOn)
{
    send(1, "/b/x");
    head(m_attempts.sent[0].attempt, 200, false);
    EXPECT_TRUE(m_attempts.sent[0].isCancelled);
    EXPECT_EQ(answer(1).status, 0);
    EXPECT_EQ(answer(1).refusal->runState, RunState::Unknown);
}

TEST_F(DispatcherTest, ABrokenStreamDoesNotLookComplete)
{
    send(1, "/s/x", "m/a1");
    head(m_attempts.sent[0].attempt, 200, true);
    m_dispatcher.onAttemptBody(m_attempts.sent[0].attempt, "data: 1");
    m_dispatcher.onAttemptEnd(m_attempts.sent[0].attempt, UpstreamEnd::Broken);
    EXPECT_EQ(answer(1).body, "data: 1");
    EXPECT_TRUE(answer(1).isAborted);
    EXPECT_FALSE(answer(1).isFinished);
}

TEST_F(DispatcherTest, ACallerThatLeavesStopsItsReplica)
{
    send(1, "/s/x", "m/a1");
    m_dispatcher.onCallerGone(1);
    EXPECT_TRUE(m_attempts.sent[0].isCancelled);
    EXPECT_EQ(m_dispatcher.openCount(), 0U);
    EXPECT_EQ(m_backends.find(m_attempts.sent[0].replica)->own.running, 0);
}

TEST_F(DispatcherTest, EveryRequestHasAFinalAnswerAtItsRoutesTimeout)
{
    send(1, "/b/x");
    send(2, "/s/x", "m/a1");
    send(3, "/s/x", "m/a1");
    head(m_attempts.sent[2].attempt, 200, true);
    advance(801);
    EXPECT_EQ(answer(1).refusal->runState, RunState::Unknown);
    advance(4300);
    EXPECT_EQ(answer(2).refusal->runState, RunState::Unknown);
    EXPECT_TRUE(answer(3).isAborted);
    EXPECT_EQ(m_dispatcher.openCount(), 0U);
}

TEST_F(DispatcherTest, AResumableStreamGoesOnBehindTheLastWholeEvent)
{
    send(1, "/r/x", "m/a1");
    const uint64_t first = m_attempts.sent.at(0).attempt;
    head(first, 200, true);
    m_dispatcher.onAttemptBody(first, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda");
    advance(3000); // longer than a request may wait before its first attempt
    m_dispatcher.onAttemptEnd(first, UpstreamEnd::Broken);
    ASSERT_EQ(m_attempts.sent.size(), 2U);
    EXPECT_NE(m_attempts.sent[1].replica, m_attempts.sent[0].replica);
    EXPECT_EQ(m_attempts.sent[1].options.resumeAfter, "2");
    const uint64_t second = m_attempts.sent[1].attempt;
    head(second, 200, true);
    m_dispatcher.onAttemptBody(second, "id: 3\ndata: c\n\n");
    m_dispatcher.onAttemptEnd(second, UpstreamEnd::Complete);
    EXPECT_EQ(answer(1).body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
    EXPECT_TRUE(answer(1).isFinished);
}

TEST_F(DispatcherTest, AStreamThatCantBeResumedIsNeverMadeToLookComplete)
{
    send(1, "/r/x", "m/a1");
    const uint64_t first = m_attempts.sent.at(0).attempt;
    head(first, 200, true);
    m_dispatcher.onAttemptBody(first, "id: 1\ndata: a\n\n");
    m_dispatcher.onAttemptEnd(first, UpstreamEnd::Broken);
    const uint64_t second = m_attempts.sent.at(1).attempt;
    head(second, 500, true);
    m_dispatcher.onAttemptBody(second, "an error page");
    m_dispatcher.onAttemptEnd(second, UpstreamEnd::Complete);
    EXPECT_EQ(m_attempts.sent.size(), 2U) << "the route allows two replicas";
    EXPECT_EQ(answer(1).body, "id: 1\ndata: a\n\n");
    EXPECT_TRUE(answer(1).isAborted);
    EXPECT_FALSE(answer(1).refusal);
}

TEST_F(DispatcherTest, AResumableStreamThatFindsNoRoomIsBrokenOffSoon)
{
    send(1, "/r/x", "m/a1");
    const uint64_t first = m_attempts.sent.at(0).attempt;
    head(first, 200, true);
    m_dispatcher.onAttemptBody(first, "id: 1\ndata: a\n\n");
    const std::string other = m_attempts.sent[0].replica == ReplicaId("e1") ? "e2" : "e1";
    m_residency.onNotResident(ReplicaId(other), "m/a1");
    m_dispatcher.onAttemptEnd(first, UpstreamEnd::Broken);
    EXPECT_FALSE(answer(1).isAborted) << "the adapter may still be loaded in time";
    advance(700);
    EXPECT_TRUE(answer(1).isAborted);
}

TEST_F(DispatcherTest, TheReplicaIsToldWhatIsLeft)
{
    send(1, "/s/x", "m/a9"); // the adapter is not resident, so the request waits
    ASSERT_TRUE(m_attempts.sent.empty());
    advance(300);
    m_residency.onResidencyReport({ReplicaId("e1"), HostId("h"), 1, 1, {{"m", 0, 0}, {"m/a9", 1, 0}}}, m_clock.now());
    advance(10);
    ASSERT_EQ(m_attempts.sent.size(), 1U);
    EXPECT_EQ(m_attempts.sent[0].options.timeLeft, Millis(5000 - 310));
}

TEST_F(DispatcherTest, AMissingAdapterIsAskedForAtOneHome)
{
    for (uint64_t exchange = 1; exchange <= 5; ++exchange) {
        send(exchange, "/s/x", "m/a9");
    }
    const std::vector<AdapterRequest> requests = m_dispatcher.takeAdapterRequests();
    ASSERT_EQ(requests.size(), 1U) << "loads are coalesced";
    EXPECT_EQ(requests[0].weights, "m/a9");
}

TEST_F(DispatcherTest, NoAdapterIsAskedForWhereTheBaseModelIsMissing)
{
    // Guards against adapters being requested from engines that have just started and have no base model yet.
    for (const std::string id : {"e1", "e2"}) {
        Backend empty = makeBackend(id, "engines");
        empty.residency.models.clear();
        empty.residency.incarnation = 2;
        m_residency.onDiscovered(empty, m_clock.now());
        m_backends.upsert(empty, m_clock.now());
    }
    Backend loaded = makeBackend("e3", "engines");
    m_residency.onDiscovered(loaded, m_clock.now());
    m_backends.upsert(loaded, m_clock.now());
    send(1, "/s/x", "m/a9");
    const std::vector<AdapterRequest> requests = m_dispatcher.takeAdapterRequests();
    ASSERT_EQ(requests.size(), 1U);
    EXPECT_EQ(requests[0].replica, ReplicaId("e3"));
}

TEST_F(DispatcherTest, ALeavingReplicaGetsNoNewWork)
{
    Backend leaving = makeBackend("s1", "desk");
    leaving.isLeaving = true;
    m_backends.upsert(leaving, m_clock.now());
    for (uint64_t exchange = 1; exchange <= 6; ++exchange) {
        send(exchange, "/b/x");
    }
    for (const FakeAttempts::Sent &sent : m_attempts.sent) {
        EXPECT_EQ(sent.replica, ReplicaId("s2"));
    }
}

TEST_F(DispatcherTest, AWithdrawnKeyIsRefusedAlsoInTheQueue)
{
    send(1, "/s/x", "m/a9");
    ServingConfig config = makeConfig();
    config.teamByKey.clear();
    m_admission.setConfig(std::make_shared<ServingConfig>(config), m_clock.now());
    m_residency.onResidencyReport({ReplicaId("e1"), HostId("h"), 1, 1, {{"m", 0, 0}, {"m/a9", 1, 0}}}, m_clock.now());
    advance(10);
    EXPECT_TRUE(m_attempts.sent.empty());
    EXPECT_EQ(answer(1).refusal->code, RefusalCode::Unauthenticated);
}

TEST_F(DispatcherTest, MoreUrgentRequestsGoFirst)
{
    ServingConfig config = makeConfig();
    config.routes[0].pathPrefix = "/s/";
    Route urgent = config.routes[0];
    urgent.pathPrefix = "/u/";
    urgent.priority = 0;
    config.routes.push_back(urgent);
    m_admission.setConfig(std::make_shared<ServingConfig>(config), m_clock.now());
    for (uint64_t exchange = 1; exchange <= 8; ++exchange) {
        send(exchange, "/s/x", "m/a1"); // occupies all slots of both engines
    }
    ASSERT_EQ(m_attempts.sent.size(), 8U);
    send(9, "/s/x", "m/a1");
    send(10, "/u/x", "m/a1");
    m_dispatcher.onAttemptEnd(m_attempts.sent[0].attempt, UpstreamEnd::Broken);
    ASSERT_EQ(m_attempts.sent.size(), 9U);
    EXPECT_EQ(m_attempts.sent[8].exchange, 10U);
}

TEST_F(DispatcherTest, ARefusalGivesTheTeamsTokensBack)
{
    ServingConfig config = makeConfig();
    config.teams[0].rate = 1000;
    config.teams[0].burst = 1000;
    config.teams[0].isCountedInTokens = true;
    m_admission.setConfig(std::make_shared<ServingConfig>(config), m_clock.now());
    advance(1000);
    FleetQuota &quota = m_admission.quotas().at(TeamId("house"));
    const double before = quota.level(m_clock.now());
    send(1, "/s/x", "m/a9");
    EXPECT_DOUBLE_EQ(quota.level(m_clock.now()), before - 100);
    advance(1300); // the adapter is never loaded
    ASSERT_TRUE(answer(1).refusal);
    EXPECT_EQ(answer(1).refusal->runState, RunState::NotRun);
    EXPECT_EQ(quota.admitted(), 0);
}

TEST_F(DispatcherTest, AShortageIsToldAtOnce)
{
    // Ten requests for adapters that are never loaded arrive every 100 ms. Without an estimate of the wait each would
    // be held until its wait deadline.
    for (uint64_t round = 0; round < 20; ++round) {
        for (uint64_t i = 0; i < 10; ++i) {
            const uint64_t exchange = round * 10 + i + 1;
            send(exchange, "/s/x", "m/b" + std::to_string(exchange));
        }
        advance(100);
    }
    int64_t atOnce = 0;
    for (uint64_t exchange = 151; exchange <= 200; ++exchange) {
        const auto &refusal = answer(exchange).refusal;
        if (refusal && refusal->detail.rfind("expected wait", 0) == 0) {
            ++atOnce;
            EXPECT_EQ(refusal->runState, RunState::NotRun);
            EXPECT_GE(refusal->retryAfter, Millis(300));
        }
    }
    EXPECT_GE(atOnce, 45);
}

}

}
