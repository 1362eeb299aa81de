#include "cluster/messagecodec.h"
#include "tests/fakes/servingnodefixture.h"

namespace vanillaspar::serving
{

namespace
{

/** A host whose store was restored; all collections are read in era 1 with the same revisions as before. */
class StoreEraTest : public ServingNodeTest
{
protected:
    void restore()
    {
        load();
        advance(100, false);
        m_store.answer(Collection::Configuration, {StoreResult::HistoryGone, {}, false, at(0, 1)});
        m_store.answer(Collection::Configuration,
                       {StoreResult::Done, {{"main", at(10, 1), 0, false}}, false, at(20, 1)});
        advance(100, false);
    }
    /** @return the proof of a host whose copy of the configuration is of era 1. */
    StoreProof makeProof(int64_t revision, int64_t version)
    {
        StoreProof proof;
        proof.echoedSequence = lastHeartbeat().sequence;
        proof.echoedIncarnation = lastHeartbeat().incarnation;
        proof.configuration = {1, {revision, 100}};
        proof.configurationVersion = version;
        return proof;
    }
};

TEST_F(StoreEraTest, AHeartbeatWithoutAnEraProvesNothingInALaterOne)
{
    // Guards against the proof of a host of the previous build, whose revision 10 is of the history that was lost.
    restore();
    for (uint64_t i = 1; i <= 60; ++i) {
        advance(100, false);
        m_node->onPeerMessage(HostId("h2"), makeHeartbeat(i, 10, 100));
    }
    EXPECT_FALSE(isServed());
    m_node->onPeerMessage(HostId("h2"), makeProof(10, 1));
    advance(10, false);
    EXPECT_TRUE(isServed());
}

TEST_F(StoreEraTest, HeartbeatsOfALaterEraCarryNoPositions)
{
    // Guards against a host of the previous build that takes a revision which was issued again for the one it knows.
    restore();
    m_node->onPeerMessage(HostId("h2"), makeHeartbeat(1, 10, 100));
    advance(500, false);
    EXPECT_EQ(lastHeartbeat().configuration.revision, 0);
    EXPECT_LT(lastHeartbeat().configuration.age, 0);
    const MessageCodec codec("secret");
    bool isProofSent = false;
    for (const auto &[address, message] : m_peers.sent) {
        const Message received = codec.decode(codec.encode(HostId("h1"), message)).message;
        if (const auto *proof = std::get_if<StoreProof>(&received)) {
            isProofSent = true;
            EXPECT_EQ(proof->configuration.era, 1);
            EXPECT_EQ(proof->configuration.copy.revision, 10);
        }
    }
    EXPECT_TRUE(isProofSent);
}

TEST_F(StoreEraTest, WithoutARestoreNothingIsSentBesides)
{
    // Guards against messages that a host of the previous build can't read while the store was never restored.
    load();
    m_node->onPeerMessage(HostId("h2"), makeHeartbeat(1, 10, 100));
    advance(2000, true);
    EXPECT_EQ(lastHeartbeat().configuration.revision, 10);
    for (const auto &[address, message] : m_peers.sent) {
        EXPECT_FALSE(std::holds_alternative<StoreProof>(message));
    }
}

TEST_F(StoreEraTest, APeersNewerVersionOfTheSameRecordStopsTheKeys)
{
    // Guards against a host that started after the restore and serves a key which the others know to be revoked.
    restore();
    EXPECT_TRUE(isServed());
    m_node->onPeerMessage(HostId("h2"), makeHeartbeat(1, 10, 100));
    m_node->onPeerMessage(HostId("h2"), makeProof(10, 2));
    advance(20, false);
    EXPECT_FALSE(isServed());
    EXPECT_FALSE(m_node->isReady());
}

}

}
