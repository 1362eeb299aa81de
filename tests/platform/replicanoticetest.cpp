#include "tests/fakes/replicafixture.h"

#include <gtest/gtest.h>

namespace vanillaspar::platform
{

namespace
{

/** Replicas of a plain service over real sockets that say of themselves what a test wants. */
class ReplicaNoticeTest : public testing::Test, protected ReplicaFixture
{
protected:
    /** @return a script that answers with a status and more headers. */
    static ScriptedReplica::Script answering(int status, const std::string &headers)
    {
        return [status, headers](ScriptedReplica &replica, const ScriptedReplica::Received &request) {
            const std::string outcome = status == 503 ? "Not-Executed: 1\r\n" : "Response-Signature: s\r\n";
            const std::string id = request.header("Request-Id");
            replica.respond(request.connection, status,
                            headers + outcome + (id.empty() ? "" : "Request-Id: " + id + "\r\n"), "ok");
        };
    }
    const serving::FakeCallers::Answer &play(uint64_t exchange, const std::string &target = "/l/x")
    {
        request(exchange, target);
        runUntil([&] {
            return hasEnded(exchange);
        });
        return m_callers.answers[exchange];
    }
    size_t arrivals(size_t replica) const
    {
        return m_replicas[replica]->received().size();
    }
    serving::Backend entryOf(const std::string &id, int64_t incarnation)
    {
        serving::Backend backend = m_backends.find(ReplicaId(id))->info;
        backend.isLeaving = false;
        backend.residency.incarnation = incarnation;
        return backend;
    }
};

TEST_F(ReplicaNoticeTest, AReplicaThatSaysItIsLeavingGetsNoRequestUntilItsNextIncarnation)
{
    addReplica("r1", "desk", answering(200, "Server-Leaving: 1\r\n"));
    EXPECT_TRUE(play(1).isFinished) << "the answer itself is delivered";
    EXPECT_EQ(play(2).refusal->code, RefusalCode::NoReplica);
    // Neither its entry, nor time, nor what other hosts say brings it back.
    m_backends.upsert(entryOf("r1", 1), m_clock.now());
    EXPECT_TRUE(play(3).refusal);
    for (int i = 0; i < 3; ++i) {
        m_clock.setNow(m_clock.now() + Millis(20000));
        m_backends.recentlyLeaving(m_clock.now(), m_clock.now());
    }
    EXPECT_FALSE(m_backends.find(ReplicaId("r1"))->isUsable());
    m_backends.remove(ReplicaId("r1"), m_clock.now());
    m_backends.purgeRemoved(m_clock.now() + Millis(60000));
    m_backends.upsert(entryOf("r1", 1), m_clock.now()); // written again after an outage of the store
    EXPECT_FALSE(m_backends.find(ReplicaId("r1"))->isUsable());
    m_backends.upsert(entryOf("r1", 2), m_clock.now());
    EXPECT_TRUE(m_backends.find(ReplicaId("r1"))->isUsable());
    EXPECT_EQ(arrivals(0), 1U);
    EXPECT_EQ(m_metrics.leavings, 1);
}

TEST_F(ReplicaNoticeTest, AnswersOfAnyKindTellThatAReplicaIsLeaving)
{
    for (const int status : {404, 500, 503}) {
        const std::string id = "r" + std::to_string(status);
        addReplica(id, "desk", answering(status, "Server-Leaving: 1\r\n"));
        play(static_cast<uint64_t>(status));
        EXPECT_TRUE(m_backends.find(ReplicaId(id))->hasSaidLeaving) << status;
        m_backends.remove(ReplicaId(id), m_clock.now());
    }
    addReplica("e9", "engines", answering(200, "Server-Leaving: 1\r\n"));
    const serving::Backend engine = m_backends.find(ReplicaId("e9"))->info;
    bool isAnswered = false;
    m_link.fetchReport(engine, [&](const std::optional<serving::EngineResidency> &) {
        isAnswered = true;
    });
    runUntil([&] {
        return isAnswered;
    });
    EXPECT_TRUE(m_backends.find(ReplicaId("e9"))->hasSaidLeaving);
    EXPECT_EQ(m_backends.recentlyLeaving(m_clock.now() + Millis(60000), m_clock.now()).size(), 1U)
        << "other hosts are told for as long as it has an entry";
}

TEST_F(ReplicaNoticeTest, ANoticeOfAnEarlierIncarnationOrOfAnotherServerIsIgnored)
{
    addReplica("r1", "desk", answering(200, "Server-Leaving: 1\r\nInstance-Id: other\r\n"));
    play(1);
    EXPECT_TRUE(m_backends.find(ReplicaId("r1"))->isUsable());
    serving::ReplicaNotice notice;
    notice.isLeaving = true;
    notice.pause = Millis(5000);
    m_notices.onReplicaNotice(ReplicaId("r1"), 0, notice);
    EXPECT_TRUE(m_backends.find(ReplicaId("r1"))->isUsable());
    EXPECT_FALSE(m_backends.find(ReplicaId("r1"))->pause.isActive(m_clock.now()));
}

TEST_F(ReplicaNoticeTest, RequestsThatHaveNotBeenWrittenToALeavingReplicaGoElsewhere)
{
    addReplica("r1", "desk", answering(200, ""));
    addReplica("r2", "desk", answering(200, ""));
    // r1 accepts no connection, as nothing listens at its address.
    serving::Backend unreachable = entryOf("r1", 1);
    unreachable.address = "192.0.2.1:9";
    m_backends.upsert(unreachable, m_clock.now());
    m_backends.remove(ReplicaId("r2"), m_clock.now());
    request(1, "/b/x");
    m_backends.upsert(entryOf("r2", 1), m_clock.now());
    EXPECT_FALSE(hasEnded(1));
    m_upstream.abandonUnsent(Endpoint::parse(unreachable.address), "r1");
    runFor(Millis(200));
    EXPECT_TRUE(m_callers.answers[1].isFinished);
    EXPECT_EQ(arrivals(1), 1U);
}

TEST_F(ReplicaNoticeTest, AReplicaThatAsksForAPauseGetsNothingUntilItIsOver)
{
    addReplica("r1", "desk", answering(503, "Retry-After: 0.6\r\n"));
    const serving::FakeCallers::Answer &refused = play(1, "/b/x");
    EXPECT_EQ(refused.refusal->runState, RunState::NotRun);
    EXPECT_GE(refused.refusal->retryAfter, Millis(400)) << "told at once when there will be room";
    for (uint64_t exchange = 2; exchange < 40; ++exchange) {
        EXPECT_TRUE(play(exchange).refusal);
    }
    EXPECT_EQ(arrivals(0), 1U);
    runFor(Millis(700));
    play(50);
    EXPECT_GT(arrivals(0), 1U);
}

TEST_F(ReplicaNoticeTest, ARequestWaitsForAPauseThatEndsInTime)
{
    const ScriptedReplica::Script script = [](ScriptedReplica &replica, const ScriptedReplica::Received &request) {
        const bool isFirst = replica.received().size() == 1;
        answering(isFirst ? 503 : 200, isFirst ? "Retry-After: 0.1\r\n" : "")(replica, request);
    };
    addReplica("r1", "desk", script);
    EXPECT_TRUE(play(1).isFinished);
    EXPECT_EQ(arrivals(0), 2U);
}

TEST_F(ReplicaNoticeTest, APauseWithoutEndHarmsOnlyTheIncarnationThatAsksForIt)
{
    addReplica("r1", "desk", answering(503, "Retry-After: 99999999999999999999\r\n"));
    addReplica("r2", "desk", answering(200, ""));
    for (uint64_t exchange = 1; exchange <= 20; ++exchange) {
        EXPECT_TRUE(play(exchange).isFinished);
    }
    EXPECT_LE(arrivals(0), 1U);
    EXPECT_TRUE(m_backends.find(ReplicaId("r1"))->isUsable()) << "other hosts and its entry are not concerned";
    m_backends.upsert(entryOf("r1", 2), m_clock.now());
    EXPECT_FALSE(m_backends.find(ReplicaId("r1"))->pause.isActive(m_clock.now()));
}

TEST_F(ReplicaNoticeTest, AValueThatCannotBeReadPausesNothingAndIsLogged)
{
    addReplica("r1", "desk", answering(503, "Retry-After: soon\r\n"));
    play(1);
    EXPECT_FALSE(m_backends.find(ReplicaId("r1"))->pause.isActive(m_clock.now()));
    EXPECT_EQ(m_log.count(EventCode::ReplicaPaused), 1);
}

}

}
