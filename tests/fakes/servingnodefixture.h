#pragma once

#include "serving/servingnode.h"
#include "tests/fakes/servingfakes.h"

#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <string>
#include <utility>

namespace vanillaspar::serving
{

/** One host whose store is answered by the test. */
class ServingNodeTest : public testing::Test
{
protected:
    void SetUp() override
    {
        m_clock.setNow(Millis(100000));
        m_decoder.configs.push_back(std::make_shared<ServingConfig>(makeConfig()));
        ServingConfig withdrawn = makeConfig();
        withdrawn.teamByKey.clear();
        m_decoder.configs.push_back(std::make_shared<ServingConfig>(withdrawn));
        m_decoder.backends = {makeBackend("e1", "engines", {{"m/a1", 1}}), makeBackend("s1", "desk")};
        m_settings.host = HostId("h1");
        m_settings.domain = DomainId("a");
        m_settings.peerAddress = "10.0.0.1:7600";
        m_settings.callerAddress = "10.0.0.1:8000";
        m_node
            = std::make_unique<ServingNode>(m_settings,
                                            ServingPorts {m_clock, m_store, m_decoder, m_peers, m_callers, m_attempts,
                                                          m_orders, m_log, m_metrics, [](const IngressLimits &) {}},
                                            5);
    }
    void load()
    {
        m_node->tick();
        m_store.answer(Collection::Configuration, {StoreResult::Done, {{"main", at(10), 0, false}}, false, at(20)});
        m_store.answer(Collection::Backends,
                       {StoreResult::Done, {{"e1", at(11), 0, false}, {"s1", at(12), 1, false}}, false, at(20)});
        m_store.answer(Collection::AdapterVersions, {StoreResult::Done, {}, false, at(20)});
        const nlohmann::json peer {{"domain", "b"}, {"peer", "10.0.0.2:7600"}, {"caller", "10.0.0.2:8000"}};
        m_store.answer(Collection::Coordination,
                       {StoreResult::Done, {{"host.h2", at(13), peer, false}}, false, at(20)});
    }
    /** Advances time while the store answers every watch without changes, or doesn't answer. */
    void advance(int64_t millis, bool isStoreReachable)
    {
        for (int64_t i = 0; i < millis; i += 10) {
            m_clock.setNow(m_clock.now() + Millis(10));
            m_node->tick();
            if (isStoreReachable) {
                answerWatches();
            }
        }
    }
    void answerWatches()
    {
        for (const Collection kind :
             {Collection::Configuration, Collection::Backends, Collection::AdapterVersions, Collection::Coordination}) {
            m_store.answer(kind, {StoreResult::Done, {}, false, at(20)});
        }
        for (FakeStore::Write &write : std::exchange(m_store.writes, {})) {
            m_written[write.name] = write.content;
            write.handler(StoreResult::Done);
        }
    }
    /** Advances time until the replicas are polled again, and answers that a replica's entry was removed. */
    void answerRemoved(const std::string &replica)
    {
        constexpr int maxSteps = 200;
        for (int i = 0; i < maxSteps && m_store.open(Collection::Backends) == nullptr; ++i) {
            advance(10, false);
        }
        ASSERT_NE(m_store.open(Collection::Backends), nullptr);
        m_store.answer(Collection::Backends, {StoreResult::Done, {{replica, at(30), nullptr, true}}, false, at(30)});
    }
    /** @return a heartbeat of the other host that echoes this host's last round. */
    HostHeartbeat makeHeartbeat(uint64_t sequence, int64_t configRevision, int64_t configAge)
    {
        HostHeartbeat heartbeat;
        heartbeat.incarnation = Incarnation("other");
        heartbeat.sequence = sequence;
        heartbeat.isReady = true;
        heartbeat.reachesStore = true;
        heartbeat.configuration = {configRevision, configAge};
        heartbeat.echoedSequence = lastHeartbeat().sequence;
        return heartbeat;
    }
    /** Makes the host the owner of e1. @param isTakeover whether another host owned it before. */
    void makeOwner(bool isTakeover)
    {
        const nlohmann::json owners {{"fence", 3},
                                     {"replicas", {{"e1", {{"host", "h1"}, {"fence", 3}, {"takeover", isTakeover}}}}}};
        m_node->tick();
        m_store.answer(Collection::Coordination,
                       {StoreResult::Done, {{"owners", at(40), owners, false}}, false, at(40)});
    }
    /** @return the last heartbeat that this host has sent. */
    HostHeartbeat lastHeartbeat() const
    {
        HostHeartbeat last;
        for (const auto &[address, message] : m_peers.sent) {
            if (const auto *own = std::get_if<HostHeartbeat>(&message)) {
                last = *own;
            }
        }
        return last;
    }
    /** @return whether a request with a key is sent to a replica. */
    bool isServed()
    {
        const size_t before = m_attempts.sent.size();
        m_node->onRequest(makeRequest(++m_exchange, "/b/x", {}, m_clock.now()));
        const bool isSent = m_attempts.sent.size() > before;
        if (isSent) {
            m_node->dispatcher().onCallerGone(m_exchange);
        }
        return isSent;
    }

    VirtualClock m_clock;
    FakeStore m_store;
    FakeDecoder m_decoder;
    FakePeers m_peers;
    FakeCallers m_callers;
    FakeAttempts m_attempts;
    FakeOrders m_orders;
    FakeLog m_log;
    FakeMetrics m_metrics;
    ServingSettings m_settings;
    std::unique_ptr<ServingNode> m_node;
    std::map<std::string, nlohmann::json> m_written;
    uint64_t m_exchange = 1000; ///< Of requests that isServed() sends; tests use lower ones.
};

}
