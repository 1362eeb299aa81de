#include "serving/queueing/activerequest.h"
#include "serving/queueing/requestlog.h"
#include "serving/queueing/requesttable.h"
#include "tests/fakes/servingnodefixture.h"

namespace vanillaspar::serving
{

namespace
{

/** A host whose process ends while requests are open. */
class EndOfProcessTest : public ServingNodeTest
{
protected:
    void takeRequests(uint64_t count)
    {
        for (uint64_t exchange = 1; exchange <= count; ++exchange) {
            m_node->onRequest(makeRequest(exchange, "/b/x", {}, m_clock.now()));
        }
    }
    static AttemptHead signedHead(HttpHead &head)
    {
        AttemptHead signedOne {head};
        signedOne.isSigned = true;
        return signedOne;
    }
    /** @return the line of a request that ended without an answer; empty if there is none. */
    std::string lineOf(const std::string &request) const
    {
        for (const auto &[code, text] : m_log.lines) {
            if (code == EventCode::RequestUnanswered && text.rfind(request + ":", 0) == 0) {
                return text;
            }
        }
        return {};
    }
};

TEST_F(EndOfProcessTest, EachRequestWithoutAnAnswerHasALineWithItsLastState)
{
    load();
    constexpr size_t requests = 20; // more than the replica has room for
    takeRequests(requests);
    ASSERT_EQ(m_node->dispatcher().openCount(), requests);
    HttpHead head;
    head.status = 200;
    m_node->dispatcher().onAttemptHead(m_attempts.sent.at(0).attempt, signedHead(head));
    EXPECT_EQ(m_node->reportUnanswered(), requests);
    EXPECT_EQ(m_log.count(EventCode::RequestUnanswered), static_cast<int64_t>(requests));
    EXPECT_NE(lineOf("r1").find("state=answering"), std::string::npos) << lineOf("r1");
    EXPECT_NE(lineOf("r2").find("state=sent"), std::string::npos) << lineOf("r2");
    EXPECT_NE(lineOf("r2").find("replica=s1"), std::string::npos) << lineOf("r2");
    EXPECT_NE(lineOf("r20").find("state=waiting"), std::string::npos) << lineOf("r20");
}

TEST_F(EndOfProcessTest, AnsweredRequestsHaveNoSuchLine)
{
    load();
    takeRequests(1);
    HttpHead head;
    head.status = 200;
    const uint64_t attempt = m_attempts.sent.at(0).attempt;
    m_node->dispatcher().onAttemptHead(attempt, signedHead(head));
    m_node->dispatcher().onAttemptEnd(attempt, UpstreamEnd::Complete);
    EXPECT_EQ(m_node->reportUnanswered(), 0U);
    EXPECT_EQ(m_log.count(EventCode::RequestUnanswered), 0);
}

TEST_F(EndOfProcessTest, AStoppingHostWaitsForCallersThatAreYetToTakeTheirAnswers)
{
    load();
    m_node->beginDrain();
    m_callers.hasAllTaken = false;
    advance(4000, true);
    EXPECT_FALSE(m_node->isDrained());
    m_callers.hasAllTaken = true;
    EXPECT_TRUE(m_node->isDrained());
}

TEST_F(EndOfProcessTest, TheLinesOfAnEndAreBoundedAndTheRestIsCounted)
{
    constexpr size_t requests = 1000;
    RequestTable table;
    for (uint64_t exchange = 1; exchange <= requests; ++exchange) {
        auto active = std::make_unique<ActiveRequest>();
        active->request.exchange = exchange;
        table.add(std::move(active));
    }
    RequestLog(m_log, m_metrics).onUnanswered(table, m_clock.now());
    const int64_t lines = m_log.count(EventCode::RequestUnanswered);
    EXPECT_EQ(lines, 500);
    const std::string rest = std::to_string(static_cast<int64_t>(requests) - lines) + " lines";
    EXPECT_TRUE(std::any_of(m_log.lines.begin(), m_log.lines.end(), [&](const auto &line) {
        return line.first == EventCode::LinesDropped && line.second == "request-unanswered: " + rest;
    }));
}

}

}
