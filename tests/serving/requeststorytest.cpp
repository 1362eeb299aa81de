#include "tests/fakes/dispatchfixture.h"

#include <gtest/gtest.h>
#include <sstream>

namespace vanillaspar::serving
{

namespace
{

constexpr int64_t tickMillis = 10;
constexpr int64_t runMillis = 20000;
constexpr int requestPercent = 6; // per tick: about six per second, below the log's limit of lines per second
constexpr uint64_t seedCount = 20;

/** The history of a request, reconstructed from the log alone. */
struct RequestTrace
{
    std::string end; ///< Name of the event that ended it; empty if there was none.
    int endLines = 0;
    int retries = 0;
    std::map<std::string, std::string> fields; ///< Fields of the line that ended it.
};

/** The history of a request as its caller and the replicas saw it. */
struct ExpectedTrace
{
    int sends = 0;
    int runs = 0; ///< Attempts that a replica may have executed.
    std::string lastReplica;
    bool hasLeft = false;
};

/**
 * Sends random requests with random faults through a dispatcher and checks that its log explains each failed request:
 * how it ended, where it was sent and whether it may have been executed. Guards against failures that an operator can't
 * trace because a line or a field is missing or wrong.
 */
class RequestStoryTest : public testing::TestWithParam<uint64_t>, protected DispatchFixture
{
protected:
    RequestStoryTest() : DispatchFixture(GetParam())
    {
    }
    void SetUp() override
    {
        startDispatch(startTime + Millis(runMillis * 3 / 4));
    }

    void run()
    {
        for (int64_t time = 0; time < runMillis; time += tickMillis) {
            m_clock.setNow(m_clock.now() + Millis(tickMillis));
            if (m_random.below(100) < requestPercent) {
                sendRequest();
            }
            respondSome();
            recordSent();
            m_dispatcher.tick();
            recordSent();
        }
        // Requests that are still open end at their deadlines.
        for (int64_t time = 0; time < 6000; time += tickMillis) {
            m_clock.setNow(m_clock.now() + Millis(tickMillis));
            m_dispatcher.tick();
            recordSent();
        }
    }
    void sendRequest()
    {
        static const char *const targets[] = {"/s/x", "/r/x", "/b/x", "/l/x", "/nowhere/x"};
        static const char *const adapters[] = {"m/a1", "m/a1", "m/a9"};
        const std::string target = targets[m_random.below(5)];
        const bool isStream = target == "/s/x" || target == "/r/x";
        ClientRequest request
            = makeRequest(++m_exchange, target, isStream ? adapters[m_random.below(3)] : "", m_clock.now());
        if (m_random.below(20) == 0) {
            request.key = "unknown";
        }
        m_expected[request.id.text()];
        m_dispatcher.onRequest(std::move(request));
        recordSent();
    }
    /** Records the attempts that were sent since the last call. */
    void recordSent()
    {
        for (; m_recorded < m_attempts.sent.size(); ++m_recorded) {
            const FakeAttempts::Sent &sent = m_attempts.sent[m_recorded];
            ExpectedTrace &expected = m_expected[sent.request.text()];
            ++expected.sends;
            expected.lastReplica = sent.replica.text();
            m_open.push_back(sent);
        }
    }
    /** Makes the replicas or callers of some open attempts respond, fail or disconnect. */
    void respondSome()
    {
        const std::vector<FakeAttempts::Sent> open = std::exchange(m_open, {});
        for (const FakeAttempts::Sent &sent : open) {
            if (m_random.below(10) != 0) {
                m_open.push_back(sent);
                continue;
            }
            respond(sent);
            recordSent();
        }
    }
    void respond(const FakeAttempts::Sent &sent)
    {
        ExpectedTrace &expected = m_expected[sent.request.text()];
        HttpHead head;
        switch (m_random.below(8)) {
        case 0: // the response is lost
            ++expected.runs;
            m_dispatcher.onAttemptEnd(sent.attempt, UpstreamEnd::Broken);
            return;
        case 1: // it was never sent
            m_dispatcher.onAttemptEnd(sent.attempt, UpstreamEnd::NotSent);
            return;
        case 2: // the replica is full
            head.status = 503;
            m_dispatcher.onAttemptHead(sent.attempt, {head, false, true, false, false});
            m_dispatcher.onAttemptEnd(sent.attempt, UpstreamEnd::Complete);
            return;
        case 3: // the response starts and breaks off
            ++expected.runs;
            head.status = 200;
            m_dispatcher.onAttemptHead(sent.attempt, {head, true, false, false, false});
            m_dispatcher.onAttemptEnd(sent.attempt, UpstreamEnd::Broken);
            return;
        case 4: // the caller disconnects
            ++expected.runs;
            expected.hasLeft = isOpen(sent.exchange);
            m_dispatcher.onCallerGone(sent.exchange);
            return;
        case 5: // no response before the deadline
            ++expected.runs;
            return;
        default:
            ++expected.runs;
            head.status = 200;
            m_dispatcher.onAttemptHead(sent.attempt, {head, true, false, false, false});
            m_dispatcher.onAttemptEnd(sent.attempt, UpstreamEnd::Complete);
        }
    }

    /** @return whether the caller still waits for the end of its response. */
    bool isOpen(uint64_t exchange) const
    {
        const auto answer = m_callers.answers.find(exchange);
        return answer == m_callers.answers.end()
            || (!answer->second.isFinished && !answer->second.isAborted && !answer->second.refusal);
    }

    /** @return the log's lines, combined into a trace for each request id. */
    std::map<std::string, RequestTrace> readLog() const
    {
        std::map<std::string, RequestTrace> traces;
        for (const auto &[code, line] : m_log.lines) {
            const size_t colon = line.find(": ");
            RequestTrace &trace = traces[line.substr(0, colon)];
            if (code == EventCode::RequestRetried) {
                ++trace.retries;
                continue;
            }
            if (code == EventCode::RequestRefused || code == EventCode::RequestFailed
                || code == EventCode::CallerLeft) {
                ++trace.endLines;
                trace.end = std::string(eventEntry(code).name);
                trace.fields = fieldsOf(line.substr(colon + 2));
            }
        }
        return traces;
    }
    static std::map<std::string, std::string> fieldsOf(const std::string &detail)
    {
        std::map<std::string, std::string> fields;
        std::istringstream words(detail);
        std::string word;
        while (words >> word) {
            const size_t equals = word.find('=');
            if (equals == std::string::npos) {
                continue;
            }
            fields.emplace(word.substr(0, equals), word.substr(equals + 1));
        }
        return fields;
    }

    uint64_t m_exchange = 0;
    size_t m_recorded = 0;
    std::vector<FakeAttempts::Sent> m_open;
    std::map<std::string, ExpectedTrace> m_expected;
};

TEST_P(RequestStoryTest, EveryFailedRequestIsExplainedByTheLogAlone)
{
    run();
    const std::map<std::string, RequestTrace> traces = readLog();
    int failed = 0;
    for (uint64_t exchange = 1; exchange <= m_exchange; ++exchange) {
        const std::string id = "r" + std::to_string(exchange);
        const ExpectedTrace &expected = m_expected[id];
        const auto answer = m_callers.answers.find(exchange);
        const bool isComplete = answer != m_callers.answers.end() && answer->second.isFinished;
        if (isComplete) {
            continue;
        }
        ++failed;
        const auto entry = traces.find(id);
        ASSERT_NE(entry, traces.end()) << id << " failed without a line in the log";
        const RequestTrace &trace = entry->second;
        EXPECT_EQ(trace.endLines, 1) << id;
        EXPECT_EQ(trace.fields.at("sends"), std::to_string(expected.sends)) << id;
        if (expected.sends > 0) {
            EXPECT_EQ(trace.fields.at("replica"), expected.lastReplica) << id;
            EXPECT_EQ(trace.fields.at("config"), "1") << id;
            EXPECT_GE(trace.retries, expected.sends - 1) << id << " was retried without a line in the log";
        }
        const bool isRefused = answer != m_callers.answers.end() && answer->second.refusal;
        if (isRefused) {
            const Refusal &refusal = *answer->second.refusal;
            EXPECT_EQ(trace.end, "request-refused") << id;
            EXPECT_EQ(trace.fields.at("code"), refusalName(refusal.code)) << id;
            EXPECT_EQ(trace.fields.at("run"), runStateName(refusal.runState)) << id;
            EXPECT_TRUE(trace.fields.count("why")) << id;
            if (trace.fields.at("run") == "not_run") {
                EXPECT_EQ(expected.runs, 0) << id << " may have been executed";
            }
        } else if (expected.hasLeft) {
            EXPECT_EQ(trace.end, "caller-left") << id;
        } else {
            EXPECT_EQ(trace.end, "request-failed") << id;
        }
    }
    EXPECT_GT(failed, 20) << "too few failures to check the log";
}

INSTANTIATE_TEST_SUITE_P(Seeds, RequestStoryTest, testing::Range(uint64_t(1), seedCount + 1));

}

}
