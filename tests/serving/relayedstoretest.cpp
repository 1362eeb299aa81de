#include "serving/membership/relayedstore.h"

#include "cluster/message.h"
#include "core/random.h"
#include "serving/interfaces/servingsettings.h"
#include "serving/membership/fleetmembers.h"
#include "serving/membership/recordcopies.h"
#include "serving/membership/recordmirror.h"
#include "serving/membership/relaycodec.h"
#include "serving/membership/relaylimits.h"
#include "tests/fakes/servingfakes.h"

#include <gtest/gtest.h>

namespace vanillaspar::serving
{

namespace
{

constexpr Collection kind = Collection::Backends;

StoredRecord record(const std::string &name, int64_t revision, const nlohmann::json &content = 1)
{
    return {name, at(revision), content, false};
}

ServingSettings makeSettings()
{
    ServingSettings settings;
    settings.host = HostId("leaf");
    settings.domain = DomainId("a");
    settings.peerAddress = "leaf:1";
    settings.capacity = 0.2;
    return settings;
}

/** A leaf host whose hub answers from a mirror. */
class RelayedStoreTest : public testing::Test
{
protected:
    void SetUp() override
    {
        m_clock.setNow(Millis(100000));
        m_copies.add(kind, m_hubMirror);
        m_hubMirror.tick();
        m_hubStore.answer(kind, {StoreResult::Done, {record("x", 3), record("y", 5)}, false, at(9)});
        join(true);
    }
    /** Two hubs are heard. */
    void join(bool isRelay)
    {
        for (const std::string name : {"hub", "other"}) {
            m_members.onRecord({"host." + name,
                                at(1),
                                {{"domain", "a"},
                                 {"peer", name + ":1"},
                                 {"caller", name + ":2"},
                                 {"capacity", name == "hub" ? 2.0 : 1.0},
                                 {"relay", isRelay}}},
                               m_clock.now());
            HostHeartbeat heartbeat;
            heartbeat.incarnation = Incarnation("i");
            heartbeat.sequence = ++m_sequence;
            heartbeat.reachesStore = true;
            m_members.onHeartbeat(HostId(name), heartbeat, m_clock.now());
        }
        m_members.beginRound(false, m_clock.now());
    }
    void advance(int64_t millis)
    {
        m_clock.setNow(m_clock.now() + Millis(millis));
        join(true);
        m_copies.tick();
        m_relayed.tick();
    }
    /** Passes the leaf host's requests to the hub. */
    void deliverRequests()
    {
        for (const auto &[address, message] : std::exchange(m_leafPeers.sent, {})) {
            m_copies.onRequest("leaf", std::get<RecordRequest>(message));
        }
    }
    /** Passes the hub's answers to the leaf host, except for one piece. */
    void deliverAnswers(int lost = -1)
    {
        for (const auto &[address, message] : std::exchange(m_hubPeers.sent, {})) {
            const auto &answer = std::get<RecordAnswer>(message);
            m_largestPiece = std::max(m_largestPiece, answer.data.size());
            if (answer.piece != lost) {
                m_relayed.onAnswer(HostId("hub"), answer);
            }
        }
    }
    StateStore::ReadHandler keep()
    {
        return [this](StoreRead read) {
            m_reads.push_back(std::move(read));
        };
    }
    /** The hub reads changes from the store. */
    void changeHub(std::vector<StoredRecord> records, int64_t revision)
    {
        m_hubMirror.tick();
        m_hubStore.answer(kind, {StoreResult::Done, std::move(records), false, at(revision)});
    }

    VirtualClock m_clock;
    Random m_random {1};
    FakeLog m_log;
    FakeStore m_store;
    FakeStore m_hubStore;
    FakePeers m_leafPeers;
    FakePeers m_hubPeers;
    ServingSettings m_settings = makeSettings();
    FleetMembers m_members {m_settings, Incarnation("l")};
    RecordMirror m_hubMirror {m_hubStore, kind,  {Millis(600), Millis(0)}, m_clock,
                              m_random,   m_log, [](const auto &) {}};
    RecordCopies m_copies {m_clock, m_hubPeers};
    RecordCopies m_noCopies {m_clock, m_leafPeers};
    RelayedStore m_relayed {{m_settings, m_clock, m_store, m_leafPeers, m_log, m_members, m_noCopies}, 7};
    std::vector<StoreRead> m_reads;
    uint64_t m_sequence = 0;
    size_t m_largestPiece = 0;
};

}

// Guards against a copy that counts as fresh from the answer's arrival, or from the end of the hold.
TEST_F(RelayedStoreTest, FreshnessCountsFromTheHubsProof)
{
    const Millis proof = m_hubMirror.freshAsOf();
    advance(700);
    m_relayed.watch(kind, at(9), Millis(10000), keep());
    deliverRequests();
    EXPECT_TRUE(m_hubPeers.sent.empty()); // held
    advance(400);
    advance(100); // on its way
    deliverAnswers();
    ASSERT_EQ(m_reads.size(), 1U);
    ASSERT_TRUE(m_reads[0].copyFreshAsOf.has_value());
    EXPECT_LE(*m_reads[0].copyFreshAsOf, proof);
    EXPECT_GE(*m_reads[0].copyFreshAsOf, proof - Millis(10));
    EXPECT_TRUE(m_store.reads.empty());
}

// Guards against changes that wait for the end of the hold, and against deletions that a copy isn't told of.
TEST_F(RelayedStoreTest, ChangesAndDeletionsArePassedOnAtOnce)
{
    m_relayed.watch(kind, at(9), Millis(10000), keep());
    deliverRequests();
    changeHub({record("z", 10), {"x", at(11), nullptr, true}, {"unseen", at(12), nullptr, true}}, 12);
    advance(10);
    deliverAnswers();
    ASSERT_EQ(m_reads.size(), 1U);
    ASSERT_EQ(m_reads[0].records.size(), 3U);
    EXPECT_TRUE(m_reads[0].records[1].isDeleted);
    EXPECT_EQ(m_reads[0].records[2].name, "unseen");
    EXPECT_EQ(m_reads[0].position, at(12));
}

// Guards against changes that are missed because the hub doesn't know them any more.
TEST_F(RelayedStoreTest, APositionBeforeTheHubsListIsListedAgain)
{
    m_relayed.watch(kind, at(8), Millis(10000), keep());
    deliverRequests();
    deliverAnswers();
    ASSERT_EQ(m_reads.size(), 1U);
    EXPECT_EQ(m_reads[0].result, StoreResult::HistoryGone);
}

// Guards against records that go back to an older state because the hub is behind.
TEST_F(RelayedStoreTest, AListThatIsOlderThanWhatIsKnownComesFromTheStore)
{
    m_relayed.watch(kind, at(20), Millis(10000), keep());
    m_leafPeers.sent.clear();
    m_relayed.list(kind, {}, keep());
    deliverRequests();
    deliverAnswers();
    EXPECT_TRUE(m_reads.empty());
    ASSERT_EQ(m_store.reads.size(), 1U);
    EXPECT_FALSE(m_store.reads[0].isWatch);
}

// Guards against datagrams that are too large, and against a list of many pages that isn't complete.
TEST_F(RelayedStoreTest, ALargeListArrivesInPagesOfManyPieces)
{
    std::vector<StoredRecord> records;
    for (int i = 0; i < 500; ++i) {
        records.push_back(record("r" + std::to_string(1000 + i), 20 + i, std::string(700, 'v')));
    }
    changeHub(records, 600);
    std::set<std::string> names;
    std::string after;
    do {
        m_reads.clear();
        m_relayed.list(kind, after, keep());
        deliverRequests();
        deliverAnswers();
        ASSERT_EQ(m_reads.size(), 1U);
        for (const StoredRecord &each : m_reads[0].records) {
            names.insert(each.name);
            after = each.name;
        }
    } while (m_reads[0].hasMore);
    EXPECT_EQ(names.size(), 502U);
    EXPECT_LE(m_largestPiece, relayPieceLength);
    EXPECT_TRUE(m_store.reads.empty());
}

// Guards against changes that are skipped because they didn't fit, and against calling such a copy fresh.
TEST_F(RelayedStoreTest, ChangesThatDontFitAreReadInParts)
{
    std::vector<StoredRecord> records;
    for (int i = 0; i < 20; ++i) {
        records.push_back(record("r" + std::to_string(i), 20 + i, std::string(15000, 'v')));
    }
    changeHub(records, 600);
    m_relayed.watch(kind, at(9), Millis(10000), keep());
    deliverRequests();
    deliverAnswers();
    ASSERT_EQ(m_reads.size(), 1U);
    ASSERT_FALSE(m_reads[0].records.empty());
    EXPECT_LT(m_reads[0].records.size(), 20U);
    EXPECT_EQ(m_reads[0].position, m_reads[0].records.back().position);
    EXPECT_LT(*m_reads[0].copyFreshAsOf, Millis(0));
}

// Guards against a call that waits for ever for a lost datagram.
TEST_F(RelayedStoreTest, ALostPieceLeadsToTheStore)
{
    changeHub({record("a", 20, std::string(20000, 'v')), record("b", 21, std::string(20000, 'v'))}, 30);
    m_relayed.list(kind, {}, keep());
    deliverRequests();
    deliverAnswers(1);
    EXPECT_TRUE(m_reads.empty());
    advance((relayHoldTime + relayAnswerTimeout).value);
    ASSERT_EQ(m_store.reads.size(), 1U);
    EXPECT_EQ(m_log.lines.back().first, EventCode::RelayUnanswered);
}

// Guards against records that are joined of two answers to a request that arrived twice.
TEST_F(RelayedStoreTest, PiecesOfDifferentAnswersArentJoined)
{
    changeHub({record("a", 20, std::string(20000, 'v'))}, 30);
    m_relayed.list(kind, {}, keep());
    const auto requests = m_leafPeers.sent;
    deliverRequests();
    auto first = std::exchange(m_hubPeers.sent, {});
    changeHub({record("a", 40, std::string(20000, 'w'))}, 40);
    m_copies.onRequest("leaf", std::get<RecordRequest>(requests.front().second));
    m_relayed.onAnswer(HostId("hub"), std::get<RecordAnswer>(first.front().second));
    m_relayed.onAnswer(HostId("hub"), std::get<RecordAnswer>(m_hubPeers.sent.back().second));
    EXPECT_TRUE(m_reads.empty());
}

// Guards against a record larger than an answer, such as a long configuration, that never arrives.
TEST_F(RelayedStoreTest, ARecordThatIsTooLargeComesFromTheStore)
{
    changeHub({record("a", 20, std::string(relayPieceLength * maxRelayPieces, 'v'))}, 30);
    m_relayed.watch(kind, at(9), Millis(10000), keep());
    deliverRequests();
    deliverAnswers();
    ASSERT_EQ(m_store.reads.size(), 1U);
    EXPECT_EQ(m_store.reads[0].since, at(9));
}

// Guards against a hub that is cut off from the store and goes on answering.
TEST_F(RelayedStoreTest, ACopyThatIsTooOldAnswersNothing)
{
    advance(oldestRelayedCopy.value + 1);
    m_relayed.watch(kind, at(9), Millis(10000), keep());
    deliverRequests();
    deliverAnswers();
    EXPECT_TRUE(m_reads.empty());
    EXPECT_EQ(m_store.reads.size(), 1U);
}

// Guards against messages that a host of the previous build can't read.
TEST_F(RelayedStoreTest, AHubOfThePreviousBuildIsntAsked)
{
    join(false);
    m_relayed.watch(kind, at(9), Millis(10000), keep());
    EXPECT_TRUE(m_leafPeers.sent.empty());
    EXPECT_EQ(m_store.reads.size(), 1U);
}

// Guards against answers to a cancelled call, or of a host that wasn't asked.
TEST_F(RelayedStoreTest, AnswersThatArentExpectedAreDropped)
{
    const uint64_t call = m_relayed.list(kind, {}, keep());
    deliverRequests();
    const auto answers = m_hubPeers.sent;
    m_relayed.onAnswer(HostId("other"), std::get<RecordAnswer>(answers.front().second));
    EXPECT_TRUE(m_reads.empty());
    m_relayed.cancel(call);
    deliverAnswers();
    EXPECT_TRUE(m_reads.empty());
}

}
