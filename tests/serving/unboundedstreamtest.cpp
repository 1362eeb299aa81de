#include "serving/dispatcher.h"
#include "tests/fakes/dispatchfixture.h"

#include <gtest/gtest.h>

namespace vanillaspar::serving
{

namespace
{

constexpr size_t pieceBytes = 32UL * 1024; // of one read
constexpr size_t largestEventBytes = 1024UL * 1024; // that a stream may hold back, see docs/design/bounds.md
constexpr size_t totalBytes = 16UL * 1024 * 1024; // that all streams may hold back

class UnboundedStreamTest : public testing::Test, protected DispatchFixture
{
protected:
    UnboundedStreamTest() : DispatchFixture(1)
    {
    }
    void SetUp() override
    {
        startDispatch(Millis(1000000));
    }
    /** Sends a resumable stream. @return its attempt, the start of whose response has arrived. */
    uint64_t startStream(uint64_t exchange)
    {
        m_dispatcher.onRequest(makeRequest(exchange, "/r/x", "m/a1", m_clock.now()));
        return startAnswer();
    }
    /** Lets the replica of the newest attempt begin its response. */
    uint64_t startAnswer()
    {
        const uint64_t attempt = m_attempts.sent.back().attempt;
        HttpHead head;
        head.status = 200;
        m_dispatcher.onAttemptHead(attempt, {head, true, false, false, false});
        return attempt;
    }
    /** Feeds bytes in pieces while the attempt is open. @return how many bytes it took. */
    size_t feed(uint64_t attempt, size_t bytes, std::string_view filler = "x")
    {
        std::string piece;
        while (piece.size() < pieceBytes) {
            piece += filler;
        }
        size_t fed = 0;
        while (fed < bytes && !isCancelled(attempt)) {
            const std::string_view part = std::string_view(piece).substr(0, bytes - fed);
            m_dispatcher.onAttemptBody(attempt, part);
            fed += part.size();
        }
        return fed;
    }
    bool isCancelled(uint64_t attempt) const
    {
        return std::any_of(m_attempts.sent.begin(), m_attempts.sent.end(), [&](const FakeAttempts::Sent &sent) {
            return sent.attempt == attempt && sent.isCancelled;
        });
    }
};

// A replica sends an event that never ends; its host kept all of it and ran out of memory.
TEST_F(UnboundedStreamTest, AnEventWithoutEndIsBrokenOffAndTheStreamGoesOnElsewhere)
{
    const uint64_t first = startStream(1);
    m_dispatcher.onAttemptBody(first, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: ");
    EXPECT_LE(feed(first, 64 * largestEventBytes), largestEventBytes + pieceBytes);
    ASSERT_TRUE(isCancelled(first));
    ASSERT_EQ(m_attempts.sent.size(), 2U);
    EXPECT_NE(m_attempts.sent[1].replica, m_attempts.sent[0].replica);
    EXPECT_EQ(m_attempts.sent[1].options.resumeAfter, "2");
    const uint64_t second = startAnswer();
    m_dispatcher.onAttemptBody(second, "id: 3\ndata: c\n\n");
    m_dispatcher.onAttemptEnd(second, UpstreamEnd::Complete);
    EXPECT_EQ(m_callers.answers[1].body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
    EXPECT_TRUE(m_callers.answers[1].isFinished);
    EXPECT_EQ(m_log.count(EventCode::AnswerUnbounded), 1);
}

// The line ends of an event of many lines, and of comments, don't end it.
TEST_F(UnboundedStreamTest, AnEventOfLinesWithoutEndIsBrokenOff)
{
    for (const std::string line : {"data: a line\n", ": a comment\r\n", "id: 3\n"}) {
        SCOPED_TRACE(line);
        const uint64_t exchange = 1 + m_callers.answers.size();
        const uint64_t attempt = startStream(exchange);
        EXPECT_LE(feed(attempt, 64 * largestEventBytes, line), largestEventBytes + pieceBytes);
        EXPECT_TRUE(isCancelled(attempt));
        m_dispatcher.onCallerGone(exchange);
    }
}

// The event ahead of the endless one came in the same piece; a resumed stream must not skip it.
TEST_F(UnboundedStreamTest, TheWholeEventAheadOfOneWithoutEndIsForwarded)
{
    const uint64_t first = startStream(1);
    m_dispatcher.onAttemptBody(first, "id: 1\ndata: a\n\n" + std::string(2 * largestEventBytes, 'x'));
    ASSERT_EQ(m_attempts.sent.size(), 2U);
    EXPECT_EQ(m_attempts.sent[1].options.resumeAfter, "1");
    EXPECT_EQ(m_callers.answers[1].body, "id: 1\ndata: a\n\n");
}

// Every replica misbehaves: the stream ends, and doesn't look complete.
TEST_F(UnboundedStreamTest, AStreamWhoseReplicasAllSendWithoutEndIsAborted)
{
    feed(startStream(1), 2 * largestEventBytes);
    ASSERT_EQ(m_attempts.sent.size(), 2U);
    feed(startAnswer(), 2 * largestEventBytes);
    EXPECT_EQ(m_attempts.sent.size(), 2U);
    EXPECT_TRUE(m_callers.answers[1].isAborted);
    EXPECT_FALSE(m_callers.answers[1].isFinished);
    EXPECT_EQ(m_dispatcher.openCount(), 0U);
}

// Many replicas misbehave at once, each within the bound of one stream.
TEST_F(UnboundedStreamTest, ManyStreamsWithoutEndStayWithinTheBoundForAll)
{
    constexpr uint64_t streams = 30;
    for (const std::string id : {"e3", "e4", "e5", "e6", "e7", "e8", "e9"}) {
        const Backend backend = makeBackend(id, "engines", {{"m/a1", 1}});
        m_residency.onDiscovered(backend, m_clock.now());
        m_backends.upsert(backend, m_clock.now());
    }
    std::map<uint64_t, size_t> fed; // by attempt
    size_t fedTotal = 0;
    for (uint64_t exchange = 1; exchange <= streams; ++exchange) {
        const size_t sentBefore = m_attempts.sent.size();
        m_dispatcher.onRequest(makeRequest(exchange, "/r/x", "m/a1", m_clock.now()));
        if (m_attempts.sent.size() == sentBefore) {
            continue; // no room at the replicas
        }
        const uint64_t attempt = startAnswer();
        fed[attempt] = feed(attempt, largestEventBytes - pieceBytes);
        fedTotal += fed[attempt];
        size_t kept = 0;
        for (const auto &[each, bytes] : fed) {
            kept += isCancelled(each) ? 0 : bytes;
        }
        ASSERT_LE(kept, totalBytes);
    }
    EXPECT_GT(fedTotal, totalBytes) << "the test must reach the bound";
    EXPECT_GT(m_log.count(EventCode::AnswerUnbounded), 0);
}

// The body of a rejection is of no use, but was read until the deadline.
TEST_F(UnboundedStreamTest, ARejectionWhoseBodyHasNoEndIsCutOffAndTheBookingGoesElsewhere)
{
    m_dispatcher.onRequest(makeRequest(1, "/b/x", "", m_clock.now()));
    const uint64_t first = m_attempts.sent.back().attempt;
    HttpHead head;
    head.status = 503;
    m_dispatcher.onAttemptHead(first, {head, true, true, false, false});
    EXPECT_LE(feed(first, 4 * largestEventBytes), largestEventBytes / 8);
    ASSERT_EQ(m_attempts.sent.size(), 2U) << "the replica stated that it did not run";
    EXPECT_TRUE(isCancelled(first));
    startAnswer();
    m_dispatcher.onAttemptEnd(m_attempts.sent.back().attempt, UpstreamEnd::Complete);
    EXPECT_TRUE(m_callers.answers[1].isFinished);
}

TEST_F(UnboundedStreamTest, ARejectionWhoseBodyComesSlowlyIsNotWaitedFor)
{
    m_dispatcher.onRequest(makeRequest(1, "/b/x", "", m_clock.now()));
    HttpHead head;
    head.status = 503;
    m_dispatcher.onAttemptHead(m_attempts.sent.back().attempt, {head, true, true, false, false});
    m_clock.setNow(m_clock.now() + Millis(300));
    m_dispatcher.tick();
    EXPECT_EQ(m_attempts.sent.size(), 2U);
}

// A caller that doesn't read is dropped inside the write of its stream's end, which erases the request.
TEST_F(UnboundedStreamTest, ACallerThatIsDroppedWhileItsStreamEndsGetsNoEnd)
{
    const uint64_t attempt = startStream(1);
    m_dispatcher.onAttemptBody(attempt, "id: 1\ndata: a\n\nid: 2\ndata: b\n");
    m_callers.onAppend = [this](uint64_t exchange) {
        m_dispatcher.onCallerGone(exchange);
    };
    m_dispatcher.onAttemptEnd(attempt, UpstreamEnd::Complete);
    EXPECT_FALSE(m_callers.answers[1].isFinished);
    EXPECT_EQ(m_dispatcher.openCount(), 0U);
}

// A booking that may have run is neither sent again nor said not to have run.
TEST_F(UnboundedStreamTest, ABookingWhoseFailureHasNoEndIsOfUnknownOutcome)
{
    m_dispatcher.onRequest(makeRequest(1, "/b/x", "", m_clock.now()));
    m_dispatcher.onAttemptEnd(m_attempts.sent.back().attempt, UpstreamEnd::Malformed);
    EXPECT_EQ(m_attempts.sent.size(), 1U);
    ASSERT_TRUE(m_callers.answers[1].refusal);
    EXPECT_EQ(m_callers.answers[1].refusal->runState, RunState::Unknown);
}

TEST_F(UnboundedStreamTest, TheLargestSoundEventArrivesInSmallPieces)
{
    const std::string event = "id: 1\ndata: " + std::string(largestEventBytes - 20, 'x') + "\n\n";
    const uint64_t attempt = startStream(1);
    constexpr size_t step = 100;
    for (size_t at = 0; at < event.size(); at += step) {
        m_dispatcher.onAttemptBody(attempt, std::string_view(event).substr(at, step));
    }
    m_dispatcher.onAttemptEnd(attempt, UpstreamEnd::Complete);
    EXPECT_EQ(m_callers.answers[1].body, event);
    EXPECT_TRUE(m_callers.answers[1].isFinished);
    EXPECT_EQ(m_attempts.sent.size(), 1U);
}

// The id is kept and sent on in a header field.
TEST_F(UnboundedStreamTest, AStreamWithAnIdTooLongForAHeaderIsForwardedButNotResumed)
{
    const std::string event = "id: " + std::string(8192, '1') + "\ndata: a\n\n";
    const uint64_t attempt = startStream(1);
    m_dispatcher.onAttemptBody(attempt, "id: 1\ndata: a\n\n" + event);
    EXPECT_EQ(m_callers.answers[1].body, "id: 1\ndata: a\n\n" + event);
    m_dispatcher.onAttemptEnd(attempt, UpstreamEnd::Broken);
    EXPECT_EQ(m_attempts.sent.size(), 1U) << "event 1 would come twice";
    EXPECT_TRUE(m_callers.answers[1].isAborted);
}

}

}
