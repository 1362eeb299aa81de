#include "serving/guards/promptguard.h"

#include "cluster/messages/prompts.h"
#include "core/refusal.h"
#include "tests/fakes/dispatchfixture.h"

#include <gtest/gtest.h>

namespace vanillaspar::serving
{

namespace
{

class PromptGuardTest : public testing::Test, protected DispatchFixture
{
protected:
    PromptGuardTest() : DispatchFixture(1)
    {
    }
    void SetUp() override
    {
        startDispatch(Millis(1000000));
    }
    ClientRequest makePrompt(uint64_t exchange, const std::string &part, const std::string &target = "/s/x")
    {
        ClientRequest request = makeRequest(exchange, target, "m/a1", m_clock.now());
        request.promptParts = {PromptPartId("f1"), PromptPartId(part), PromptPartId("a" + std::to_string(exchange))};
        return request;
    }
    void advance(int64_t millis)
    {
        for (int64_t i = 0; i < millis; i += 10) {
            m_clock.setNow(m_clock.now() + Millis(10));
            m_dispatcher.tick();
        }
    }
    void begin(uint64_t attempt)
    {
        HttpHead head;
        head.status = 200;
        head.headers = {{"Content-Type", "text/event-stream"}};
        m_dispatcher.onAttemptHead(attempt, {head, true, false, false, false});
    }
    /** Plays a sound request to its end. */
    void serve(uint64_t exchange)
    {
        m_dispatcher.onRequest(makePrompt(exchange, "b" + std::to_string(exchange % 7)));
        const uint64_t attempt = m_attempts.sent.back().attempt;
        begin(attempt);
        m_dispatcher.onAttemptEnd(attempt, UpstreamEnd::Complete);
    }
    void block(const std::string &part)
    {
        m_prompts.block(PromptPartId(part), {7, m_clock.wallNow(), 4});
    }
    const FakeCallers::Answer &answer(uint64_t exchange)
    {
        return m_callers.answers[exchange];
    }
};

TEST_F(PromptGuardTest, ARequestWithABlockedPartIsRefusedAtOnceAndTakesNoTokens)
{
    ServingConfig config = makeConfig();
    config.teams[0].rate = 100;
    config.teams[0].burst = 150;
    config.teams[0].isCountedInTokens = true;
    m_admission.setConfig(std::make_shared<ServingConfig>(config), m_clock.now());
    advance(3000);
    block("bad");
    for (uint64_t exchange = 1; exchange <= 50; ++exchange) {
        m_dispatcher.onRequest(makePrompt(exchange, "bad"));
        ASSERT_TRUE(answer(exchange).refusal);
        EXPECT_EQ(answer(exchange).refusal->code, RefusalCode::PromptBlocked);
        EXPECT_EQ(answer(exchange).refusal->runState, RunState::NotRun);
        EXPECT_EQ(answer(exchange).refusal->retryAfter, Millis(0)) << "returning doesn't help";
    }
    EXPECT_TRUE(m_attempts.sent.empty());
    m_dispatcher.onRequest(makePrompt(60, "sound"));
    EXPECT_EQ(m_attempts.sent.size(), 1U) << "the team's tokens are still there";
}

TEST_F(PromptGuardTest, TheLastPartOfAPromptIsNeverBlocked)
{
    block("a1");
    m_dispatcher.onRequest(makePrompt(1, "sound"));
    EXPECT_EQ(m_attempts.sent.size(), 1U);
}

TEST_F(PromptGuardTest, QueuedAndSentRequestsWithAPartAreEndedOnceItIsBlocked)
{
    // Four slots on each of two engines; the ninth request waits.
    for (uint64_t exchange = 1; exchange <= 9; ++exchange) {
        m_dispatcher.onRequest(makePrompt(exchange, "bad"));
    }
    ASSERT_EQ(m_attempts.sent.size(), 8U);
    begin(m_attempts.sent[0].attempt);
    block("bad");
    advance(20);
    EXPECT_FALSE(answer(1).refusal) << "its answer has begun";
    for (uint64_t exchange = 2; exchange <= 8; ++exchange) {
        ASSERT_TRUE(answer(exchange).refusal) << exchange;
        EXPECT_EQ(answer(exchange).refusal->runState, RunState::Unknown);
        EXPECT_TRUE(m_attempts.sent[exchange - 1].isCancelled);
    }
    EXPECT_EQ(answer(9).refusal->code, RefusalCode::PromptBlocked);
    EXPECT_EQ(m_attempts.sent.size(), 8U);
}

TEST_F(PromptGuardTest, AStreamThatBreaksIsNotResumedOnABlockedPart)
{
    m_dispatcher.onRequest(makePrompt(1, "bad", "/r/x"));
    begin(m_attempts.sent[0].attempt);
    block("bad");
    m_dispatcher.onAttemptEnd(m_attempts.sent[0].attempt, UpstreamEnd::Broken);
    EXPECT_EQ(m_attempts.sent.size(), 1U);
    EXPECT_TRUE(answer(1).isAborted);
}

TEST_F(PromptGuardTest, ALostConnectionToAReplicaThatAnswersOthersIsNoCrash)
{
    m_dispatcher.onRequest(makePrompt(1, "p"));
    m_dispatcher.onRequest(makePrompt(2, "q"));
    while (m_attempts.sent[0].replica != m_attempts.sent.back().replica) {
        m_dispatcher.onRequest(makePrompt(10 + m_attempts.sent.size(), "q"));
    }
    const uint64_t other = m_attempts.sent.back().attempt;
    begin(other);
    m_dispatcher.onAttemptEnd(m_attempts.sent[0].attempt, UpstreamEnd::Broken);
    advance(100);
    m_dispatcher.onAttemptBody(other, "data: x\n\n");
    advance(300);
    EXPECT_EQ(m_prompts.suspectCount(), 0U);
    // Without another answer of that replica it counts.
    m_dispatcher.onAttemptEnd(other, UpstreamEnd::Broken);
    advance(300);
    EXPECT_GT(m_prompts.suspectCount(), 0U);
}

TEST_F(PromptGuardTest, SuspectRequestsAreSentOneAtATime)
{
    PromptReport report;
    report.suspects = {{PromptPartId("bad"), {{1, 1, 1, 5000}, {2, 2, 2, 3000}}}};
    m_prompts.onReport(report);
    for (uint64_t exchange = 100; exchange < 120; ++exchange) {
        serve(exchange);
    }
    advance(1000);
    const size_t before = m_attempts.sent.size();
    m_dispatcher.onRequest(makePrompt(1, "bad"));
    m_dispatcher.onRequest(makePrompt(2, "bad"));
    EXPECT_EQ(m_attempts.sent.size(), before + 1);
    begin(m_attempts.sent.back().attempt);
    m_dispatcher.onAttemptEnd(m_attempts.sent.back().attempt, UpstreamEnd::Complete);
    EXPECT_EQ(m_attempts.sent.size(), before + 2) << "the first one has cleared the part";
}

TEST_F(PromptGuardTest, ReportsAreBoundedWhateverCallersSend)
{
    constexpr size_t largestReport = 8000; // bytes
    for (uint32_t i = 0; i < 500; ++i) {
        PromptReport report;
        report.suspects = {{PromptPartId("abcdef0123" + std::to_string(100000 + i)), {}}};
        for (uint32_t crash = 0; crash < 50; ++crash) {
            report.suspects[0].crashes.push_back({i * 50 + crash, crash, crash, 1000 * crash});
        }
        report.blocked = {{PromptPartId("block" + std::to_string(i)), i + 1, m_clock.wallNow().value, 4}};
        m_prompts.onReport(report);
    }
    const PromptReport told = m_prompts.takeReport();
    EXPECT_LE(told.suspects.size(), 32U);
    EXPECT_LE(told.blocked.size(), 64U);
    size_t bytes = 0;
    for (const SuspectPartReport &suspect : told.suspects) {
        bytes += 24 + suspect.crashes.size() * sizeof(PartCrashReport);
    }
    bytes += told.blocked.size() * 44;
    EXPECT_LE(bytes, largestReport + 64 * 44);
    EXPECT_LE(m_prompts.suspectCount(), 256U);
}

TEST_F(PromptGuardTest, ALiftedBlockIsNotTakenUpAgainFromAHostThatStillHasIt)
{
    block("bad");
    m_prompts.lift(PromptPartId("bad"));
    m_dispatcher.onRequest(makePrompt(1, "bad"));
    EXPECT_EQ(m_attempts.sent.size(), 1U);
    PromptReport report;
    report.blocked = {{PromptPartId("bad"), 7, m_clock.wallNow().value, 4}};
    m_prompts.onReport(report);
    EXPECT_EQ(m_prompts.blocked().find(PromptPartId("bad")), nullptr);
    report.blocked[0].block = 8; // a new finding
    m_prompts.onReport(report);
    EXPECT_NE(m_prompts.blocked().find(PromptPartId("bad")), nullptr);
}

TEST_F(PromptGuardTest, ABlockEndsAfterItsTime)
{
    block("bad");
    m_clock.setNow(m_clock.now() + Millis(3700000));
    m_dispatcher.tick();
    EXPECT_EQ(m_prompts.blocked().find(PromptPartId("bad")), nullptr);
    EXPECT_EQ(m_log.count(EventCode::PromptPartLifted), 1);
}

}

}
