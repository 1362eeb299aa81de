#include "cluster/messages/latency.h"
#include "core/hash.h"
#include "serving/placement/replicalatencies.h"
#include "serving/replicas/backendtable.h"
#include "tests/fakes/dispatchfixture.h"

#include <gtest/gtest.h>

namespace vanillaspar::serving
{

namespace
{

/** Two engines of which a hub reports the first as slow. */
class SharedPaceTest : public testing::TestWithParam<bool>, protected DispatchFixture
{
protected:
    SharedPaceTest() : DispatchFixture(5)
    {
    }
};

// Guards against a host that sends to an engine which only other hosts know to be slow, and, with the feature off,
// against a choice that reports change.
TEST_P(SharedPaceTest, AvoidsAnEngineThatOthersReport)
{
    startDispatch(Millis(100000000));
    ServingConfig config = makeConfig();
    config.pools.at(PoolId("engines")).engine->cacheTokens = 1000000;
    m_admission.setConfig(std::make_shared<ServingConfig>(config), m_clock.now());
    ReplicaLatencies latencies;
    latencies.setEnabled(GetParam());
    m_chooser.setLatencies(latencies);
    constexpr int16_t logOfThree = 1099;
    latencies.setPeerReport(
        HostId("hub"),
        {{shortHash("e1"), logOfThree, 500, 0}, {shortHash("e2"), 0, 500, 0}, {shortHash("e3"), 0, 500, 0}},
        m_clock.now());
    Backend third = makeBackend("e3", "engines"); // holds no adapter; the median needs three engines
    m_backends.upsert(third, m_clock.now());
    ClientRequest request = makeRequest(1, "/s/x", "m/a1", m_clock.now());
    request.promptTokens = Tokens(3000);
    m_dispatcher.onRequest(request);
    ASSERT_EQ(m_attempts.sent.size(), 1U);
    EXPECT_EQ(m_attempts.sent[0].replica, ReplicaId(GetParam() ? "e2" : "e1"));
}

INSTANTIATE_TEST_SUITE_P(Feature, SharedPaceTest, testing::Bool());

}

}
