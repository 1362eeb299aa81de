#include "cluster/messages/fleet.h"
#include "core/random.h"
#include "serving/dispatcher.h"
#include "serving/queueing/activerequest.h"
#include "tests/fakes/dispatchfixture.h"

#include <deque>
#include <gtest/gtest.h>

namespace vanillaspar::serving
{

namespace
{

constexpr Millis step(10);

/** Two engines that read the prompts sent to them one after another, and callers that ask at a fixed rate. */
class EngineChooserTest : public testing::Test, protected DispatchFixture
{
protected:
    EngineChooserTest() : DispatchFixture(3)
    {
    }
    void SetUp() override
    {
        startDispatch(Millis(100000000));
        ServingConfig config = makeConfig();
        EngineSpec &engine = *config.pools.at(PoolId("engines")).engine;
        engine.cacheTokens = 1000000;
        m_admission.setConfig(std::make_shared<ServingConfig>(config), m_clock.now());
        m_objective = config.routes[0].objective;
        for (const std::string id : {"e1", "e2"}) {
            Backend backend = makeBackend(id, "engines", {{"m/a1", 1}});
            backend.slots = 1000;
            m_backends.upsert(backend, m_clock.now());
        }
    }
    void ask()
    {
        ++m_asked;
        ClientRequest request = makeRequest(m_asked, "/s/x", "m/a1", m_clock.now());
        request.promptTokens = m_promptTokens;
        m_askedAt[m_asked] = m_clock.now();
        m_dispatcher.onRequest(request);
    }
    /** Lets the engines read for one step and answer the requests whose prompt is read. */
    void readPrompts()
    {
        for (; m_seen < m_attempts.sent.size(); ++m_seen) {
            m_queues[m_attempts.sent[m_seen].replica].push_back({m_seen, static_cast<double>(m_promptTokens.value)});
        }
        for (auto &[replica, queue] : m_queues) {
            double budget = m_tokensPerMilli * static_cast<double>(step.value) / m_slowness[replica];
            while (!queue.empty() && budget > 0) {
                const double read = std::min(budget, queue.front().second);
                budget -= read;
                queue.front().second -= read;
                if (queue.front().second <= 0) {
                    const FakeAttempts::Sent sent = m_attempts.sent[queue.front().first];
                    queue.pop_front();
                    answer(sent);
                }
            }
        }
    }
    void answer(const FakeAttempts::Sent &sent)
    {
        if (sent.isCancelled) {
            return;
        }
        HttpHead head;
        head.status = 200;
        m_dispatcher.onAttemptHead(sent.attempt, {head, true, false, false, false});
        m_dispatcher.onAttemptEnd(sent.attempt, UpstreamEnd::Complete);
        ++(m_clock.now() - m_askedAt[sent.exchange] <= m_objective ? m_inTime : m_late);
        ++m_answeredBy[sent.replica];
    }
    /** Plays callers that together ask for @p load times what the engines can read. */
    void play(double load, Millis duration)
    {
        const double tokensPerStep = 2 * m_tokensPerMilli * static_cast<double>(step.value) * load;
        double due = 0;
        for (Millis played(0); played < duration; played += step) {
            for (due += tokensPerStep; due >= static_cast<double>(m_promptTokens.value);
                 due -= static_cast<double>(m_promptTokens.value)) {
                ask();
            }
            m_clock.setNow(m_clock.now() + step);
            readPrompts();
            m_dispatcher.tick();
        }
    }
    void send(const std::string &weights)
    {
        m_dispatcher.onRequest(makeRequest(++m_asked, "/s/x", weights, m_clock.now()));
    }
    /** @return requests that the engines can answer in @p duration. */
    double capacity(Millis duration) const
    {
        return 2 * m_tokensPerMilli * static_cast<double>(duration.value) / static_cast<double>(m_promptTokens.value);
    }

    Tokens m_promptTokens {1500};
    double m_tokensPerMilli = 20;
    std::map<ReplicaId, double> m_slowness {{ReplicaId("e1"), 1}, {ReplicaId("e2"), 1}};
    Millis m_objective;
    std::map<ReplicaId, std::deque<std::pair<size_t, double>>> m_queues;
    std::map<uint64_t, Millis> m_askedAt;
    std::map<ReplicaId, int> m_answeredBy;
    size_t m_seen = 0;
    uint64_t m_asked = 0;
    int m_inTime = 0;
    int m_late = 0;
};

/** Parameter: prompt tokens that an engine reads in a millisecond. */
class OverloadTest : public EngineChooserTest, public testing::WithParamInterface<double>
{
protected:
    OverloadTest()
    {
        m_tokensPerMilli = GetParam();
    }
};

TEST_P(OverloadTest, MostOfWhatTheEnginesCanReadIsAnsweredInTime)
{
    // Half as much again as the engines can read. If each took requests until a fixed number of prompt tokens waits,
    // nearly all answers would be late on slow engines, and fast ones would stand idle.
    constexpr Millis duration(20000);
    play(1.5, duration);
    EXPECT_GE(m_inTime, capacity(duration) * 0.7);
    EXPECT_GE(m_inTime + m_late, capacity(duration) * 0.9) << "the engines are kept busy";
}

INSTANTIATE_TEST_SUITE_P(Speeds, OverloadTest, testing::Values(10.0, 20.0, 40.0));

TEST_F(EngineChooserTest, ASlowReplicaIsLeftSoon)
{
    play(0.5, Millis(5000));
    m_answeredBy.clear();
    m_inTime = 0;
    m_late = 0;
    m_slowness[ReplicaId("e2")] = 8;
    play(0.4, Millis(5000));
    EXPECT_LE(m_late, (m_late + m_inTime) * 0.1);
    EXPECT_LE(m_answeredBy[ReplicaId("e2")], m_answeredBy[ReplicaId("e1")] * 0.3);
}

TEST_F(EngineChooserTest, AReplicaThatIsFastAgainIsUsedAgain)
{
    m_slowness[ReplicaId("e2")] = 8;
    play(0.4, Millis(5000));
    m_slowness[ReplicaId("e2")] = 1;
    play(0.8, Millis(4000)); // more than the other replica can read
    m_answeredBy.clear();
    m_inTime = 0;
    m_late = 0;
    play(0.8, Millis(4000));
    EXPECT_GE(m_answeredBy[ReplicaId("e2")], m_answeredBy[ReplicaId("e1")] * 0.5);
    EXPECT_LE(m_late, (m_late + m_inTime) * 0.1);
}

/** @return the most requests that one of eight replicas gets from hosts that all have the same reports. */
int mostFromHostsWithEqualReports(int hosts, int64_t runningOnEach, Millis duration)
{
    std::map<ReplicaId, int> chosen;
    for (int host = 0; host < hosts; ++host) {
        Random random(static_cast<uint64_t>(host) + 1);
        BackendTable backends;
        backends.setReportAge(Millis(200));
        ResidencyMap residency;
        AdapterVersions versions;
        EngineChooser chooser(
            backends, residency, versions, DomainId("a"),
            [](const ReplicaId &) {
                return true;
            },
            random);
        std::vector<ReplicaUse> uses;
        for (int replica = 0; replica < 8; ++replica) {
            Backend backend = makeBackend("e" + std::to_string(replica), "engines", {{"m/a1", 1}});
            backend.slots = 16;
            residency.onDiscovered(backend, Millis(1000));
            backends.upsert(backend, Millis(1000));
            const int64_t running = runningOnEach - (replica == 3 ? 1 : 0); // one has a little less to do
            uses.push_back({backends.find(backend.id)->shortId, static_cast<uint16_t>(running), 0, 0});
        }
        backends.setPeerUse(HostId("others"), uses);
        ActiveRequest active;
        active.request = makeRequest(1, "/s/x", "m/a1", Millis(1000));
        active.pool = PoolId("engines");
        active.isEngine = true;
        active.objective = Millis(800);
        active.lateAfter = Millis(1800);
        active.sentAt = Millis(1000) - duration;
        chooser.onCompleted(active, Millis(1000));
        EngineSpec engine;
        engine.slots = 16;
        const ReplicaChoice choice = chooser.choose(active, engine, Millis(1000));
        if (choice.backend != nullptr) {
            ++chosen[choice.backend->info.id];
        }
    }
    int most = 0;
    for (const auto &[replica, count] : chosen) {
        most = std::max(most, count);
    }
    return most;
}

TEST(EngineChooser, ManyHostsWithEqualReportsDontChooseTheSameReplica)
{
    // About 63 requests run for half a second each, so that 25 arrive between two reports, here one at each of 25
    // hosts. Seven were running on the best replica, which has 16 slots.
    EXPECT_LE(mostFromHostsWithEqualReports(25, 8, Millis(500)), 9);
}

TEST(EngineChooser, TheLeastLoadedReplicaIsChosenWhereFewRequestsArrive)
{
    // Requests run for long, so that hardly any arrive between two reports.
    EXPECT_GE(mostFromHostsWithEqualReports(10, 2, Millis(60000)), 8);
}

TEST_F(EngineChooserTest, AnAdapterGoesBackToTheReplicaThatHeldItLately)
{
    send("m/a9");
    const std::vector<AdapterRequest> first = m_dispatcher.takeAdapterRequests();
    ASSERT_EQ(first.size(), 1U);
    const std::string other = first[0].replica == ReplicaId("e1") ? "e2" : "e1";
    uint64_t sequence = 0;
    const auto report = [&](const std::vector<ResidentAdapter> &adapters) {
        m_residency.onResidencyReport({ReplicaId(other), HostId("h"), 1, ++sequence, adapters}, m_clock.now());
    };
    report({{"m", 0, 0}, {"m/a8", 1, 0}});
    report({{"m", 0, 0}});
    send("m/a8");
    for (const AdapterRequest &request : m_dispatcher.takeAdapterRequests()) {
        if (request.weights == "m/a8") {
            EXPECT_EQ(request.replica, ReplicaId(other)) << "there it loads from the replica's own memory";
        }
    }
}

}

}
