#include "platform/callerface.h"
#include "tests/fakes/replicafixture.h"

#include <gtest/gtest.h>
#include <tuple>

namespace vanillaspar::platform
{

namespace
{

/** Path of the request, status of the replica, and whether the replica states that it did not run the request. */
using Case = std::tuple<const char *, int, bool>;

/** Guards against REFUSED: a status that promises "not run" reaches a caller although the replica has run the request.
 */
class FalsePromiseTest : public testing::TestWithParam<Case>, protected ReplicaFixture
{
protected:
    /** Sends a request to one of two replicas that answer with the case's status, and waits for the caller's answer. */
    const serving::FakeCallers::Answer &play()
    {
        const auto [target, status, isStated] = GetParam();
        const auto script = [status = status, isStated = isStated](ScriptedReplica &replica,
                                                                   const ScriptedReplica::Received &request) {
            replica.respond(request.connection, status,
                            "Request-Id: " + request.header("Request-Id") + "\r\n"
                                + (isStated ? "Not-Executed: 1\r\n" : "Response-Signature: s\r\n"),
                            "failed");
        };
        for (const char *id : {"r1", "r2"}) {
            addReplica(id, target[1] == 'b' || target[1] == 'l' ? "desk" : "engines", script);
        }
        request(1, target);
        runUntil([&] {
            return hasEnded(1);
        });
        return m_callers.answers[1];
    }
    static bool mayRunOnce()
    {
        return std::get<0>(GetParam())[1] == 'b' || std::get<0>(GetParam())[1] == 's';
    }
    /** @return whether the replica has said that it did not run the request; 421 always says so. */
    static bool isNotRun()
    {
        return std::get<2>(GetParam()) || std::get<1>(GetParam()) == 421;
    }
    static bool isPromise(int status)
    {
        return status == 408 || status == 421 || status == 429 || status == 503;
    }
    size_t arrivals() const
    {
        return m_replicas[0]->received().size() + m_replicas[1]->received().size();
    }
    /** @return the status that the caller sees. */
    static int statusOf(const serving::FakeCallers::Answer &answer)
    {
        return answer.refusal ? httpStatusFor(*answer.refusal) : answer.status;
    }
};

TEST_P(FalsePromiseTest, OnlyAReplicaThatSaysSoHasNotRunTheRequest)
{
    const serving::FakeCallers::Answer &answer = play();
    if (isNotRun()) {
        ASSERT_TRUE(answer.refusal);
        EXPECT_EQ(answer.refusal->runState, RunState::NotRun);
    } else if (mayRunOnce() && isPromise(std::get<1>(GetParam()))) {
        ASSERT_TRUE(answer.refusal) << "the caller gets " << answer.status;
        EXPECT_EQ(answer.refusal->runState, RunState::Unknown);
        EXPECT_EQ(answer.refusal->retryAfter, Millis(0));
        EXPECT_FALSE(isPromise(statusOf(answer)));
        EXPECT_EQ(arrivals(), 1U) << "it may have run";
    } else {
        EXPECT_EQ(statusOf(answer), std::get<1>(GetParam())) << "a replica's status is returned unchanged";
    }
}

INSTANTIATE_TEST_SUITE_P(Answers, FalsePromiseTest,
                         testing::Combine(testing::Values("/b/x", "/s/x", "/l/x", "/r/x"),
                                          testing::Values(400, 404, 408, 421, 429, 500, 502, 503, 504),
                                          testing::Bool()));

/** Guards against REFUSED: a caller is promised "not run" while the host itself can't know. */
TEST(FalsePromise, NoRefusalOfARequestThatMayHaveRunHasAStatusThatPromisesOtherwise)
{
    for (int code = 0; code <= static_cast<int>(RefusalCode::PromptBlocked); ++code) {
        for (const RunState state : {RunState::Unknown, RunState::Ran}) {
            const int status = httpStatusFor({static_cast<RefusalCode>(code), state, Millis(0), {}});
            EXPECT_TRUE(status != 408 && status != 421 && status != 429 && status != 503)
                << refusalName(static_cast<RefusalCode>(code));
        }
    }
}

}

}
