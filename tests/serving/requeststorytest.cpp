#include "tests/fakes/dispatchfixture.h"

#include <gtest/gtest.h>
#include <sstream>

namespace vanillaspar::serving
{

namespace
{

constexpr int64_t tickMillis = 10;
constexpr int64_t playedMillis = 20000;
constexpr int requestPercent = 6; // in a tick: about six a second, below the log's budget of lines
constexpr uint64_t seeds = 20;

/** A request's course, told by the lines of the log alone. */
struct Story
{
    std::string end; ///< Name of the event that ended it; empty if none did.
    int endLines = 0;
    int retries = 0;
    std::map<std::string, std::string> fields; ///< Of the line that ended it.
};

/** What the callers and replicas of the run saw. */
struct Truth
{
    int sends = 0;
    int runs = 0; ///< Attempts that a replica may have run.
    std::string lastReplica;
    bool hasLeft = false;
};

/** A dispatcher under drawn requests and faults, and the reader of its log. */
class RequestStoryTest : public testing::TestWithParam<uint64_t>, protected DispatchFixture
{
protected:
    RequestStoryTest() : DispatchFixture(GetParam())
    {
    }
    void SetUp() override
    {
        startDispatch(startTime + Millis(playedMillis * 3 / 4));
    }

    void play()
    {
        for (int64_t time = 0; time < playedMillis; time += tickMillis) {
            m_clock.setNow(m_clock.now() + Millis(tickMillis));
            if (m_random.below(100) < requestPercent) {
                sendRequest();
            }
            answerSome();
            noteSent();
            m_dispatcher.tick();
            noteSent();
        }
        // Whatever is still open ends at its deadline.
        for (int64_t time = 0; time < 6000; time += tickMillis) {
            m_clock.setNow(m_clock.now() + Millis(tickMillis));
            m_dispatcher.tick();
            noteSent();
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
        m_truth[request.id.text()];
        m_dispatcher.onRequest(std::move(request));
        noteSent();
    }
    /** Takes note of attempts that were sent since the last look. */
    void noteSent()
    {
        for (; m_noted < m_attempts.sent.size(); ++m_noted) {
            const FakeAttempts::Sent &sent = m_attempts.sent[m_noted];
            Truth &truth = m_truth[sent.request.text()];
            ++truth.sends;
            truth.lastReplica = sent.replica.text();
            m_open.push_back(sent);
        }
    }
    /** Lets replicas and callers do what they may do. */
    void answerSome()
    {
        const std::vector<FakeAttempts::Sent> open = std::exchange(m_open, {});
        for (const FakeAttempts::Sent &sent : open) {
            if (m_random.below(10) != 0) {
                m_open.push_back(sent);
                continue;
            }
            answerOne(sent);
            noteSent();
        }
    }
    void answerOne(const FakeAttempts::Sent &sent)
    {
        Truth &truth = m_truth[sent.request.text()];
        HttpHead head;
        switch (m_random.below(8)) {
        case 0: // the answer is lost
            ++truth.runs;
            m_dispatcher.onAttemptEnd(sent.attempt, UpstreamEnd::Broken);
            return;
        case 1: // it never left
            m_dispatcher.onAttemptEnd(sent.attempt, UpstreamEnd::NotSent);
            return;
        case 2: // the replica is full
            head.status = 503;
            m_dispatcher.onAttemptHead(sent.attempt, {head, false, true, false, false});
            m_dispatcher.onAttemptEnd(sent.attempt, UpstreamEnd::Complete);
            return;
        case 3: // it begins to answer and breaks off
            ++truth.runs;
            head.status = 200;
            m_dispatcher.onAttemptHead(sent.attempt, {head, true, false, false, false});
            m_dispatcher.onAttemptEnd(sent.attempt, UpstreamEnd::Broken);
            return;
        case 4: // the caller leaves
            ++truth.runs;
            truth.hasLeft = isOpen(sent.exchange);
            m_dispatcher.onCallerGone(sent.exchange);
            return;
        case 5: // no answer before the deadline
            ++truth.runs;
            return;
        default:
            ++truth.runs;
            head.status = 200;
            m_dispatcher.onAttemptHead(sent.attempt, {head, true, false, false, false});
            m_dispatcher.onAttemptEnd(sent.attempt, UpstreamEnd::Complete);
        }
    }

    /** @return whether the caller still waits for the end of its answer. */
    bool isOpen(uint64_t exchange) const
    {
        const auto answer = m_callers.answers.find(exchange);
        return answer == m_callers.answers.end()
            || (!answer->second.isFinished && !answer->second.isAborted && !answer->second.refusal);
    }

    /** Reads the log as an engineer would: by the request's id. */
    std::map<std::string, Story> readLog() const
    {
        std::map<std::string, Story> stories;
        for (const auto &[code, line] : m_log.lines) {
            const size_t colon = line.find(": ");
            Story &story = stories[line.substr(0, colon)];
            if (code == EventCode::RequestRetried) {
                ++story.retries;
                continue;
            }
            if (code == EventCode::RequestRefused || code == EventCode::RequestFailed
                || code == EventCode::CallerLeft) {
                ++story.endLines;
                story.end = std::string(eventEntry(code).name);
                story.fields = fieldsOf(line.substr(colon + 2));
            }
        }
        return stories;
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
    size_t m_noted = 0;
    std::vector<FakeAttempts::Sent> m_open;
    std::map<std::string, Truth> m_truth;
};

TEST_P(RequestStoryTest, EveryFailedRequestIsExplainedByTheLogAlone)
{
    play();
    const std::map<std::string, Story> stories = readLog();
    int failed = 0;
    for (uint64_t exchange = 1; exchange <= m_exchange; ++exchange) {
        const std::string id = "r" + std::to_string(exchange);
        const Truth &truth = m_truth[id];
        const auto answer = m_callers.answers.find(exchange);
        const bool isComplete = answer != m_callers.answers.end() && answer->second.isFinished;
        if (isComplete) {
            continue;
        }
        ++failed;
        const auto entry = stories.find(id);
        ASSERT_NE(entry, stories.end()) << id << " failed and the log does not know it";
        const Story &story = entry->second;
        EXPECT_EQ(story.endLines, 1) << id;
        EXPECT_EQ(story.fields.at("sends"), std::to_string(truth.sends)) << id;
        if (truth.sends > 0) {
            EXPECT_EQ(story.fields.at("replica"), truth.lastReplica) << id;
            EXPECT_EQ(story.fields.at("config"), "1") << id;
            EXPECT_GE(story.retries, truth.sends - 1) << id << " was sent again without a line";
        }
        const bool isRefused = answer != m_callers.answers.end() && answer->second.refusal;
        if (isRefused) {
            const Refusal &refusal = *answer->second.refusal;
            EXPECT_EQ(story.end, "request-refused") << id;
            EXPECT_EQ(story.fields.at("code"), refusalName(refusal.code)) << id;
            EXPECT_EQ(story.fields.at("run"), runStateName(refusal.runState)) << id;
            EXPECT_TRUE(story.fields.count("why")) << id;
            if (story.fields.at("run") == "not_run") {
                EXPECT_EQ(truth.runs, 0) << id << " may have run";
            }
        } else if (truth.hasLeft) {
            EXPECT_EQ(story.end, "caller-left") << id;
        } else {
            EXPECT_EQ(story.end, "request-failed") << id;
        }
    }
    EXPECT_GT(failed, 20) << "the run must bring about failures";
}

INSTANTIATE_TEST_SUITE_P(Seeds, RequestStoryTest, testing::Range(uint64_t(1), seeds + 1));

}

}
