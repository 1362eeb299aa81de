#include "serving/membership/recordmirror.h"

#include "core/random.h"
#include "tests/fakes/servingfakes.h"

#include <gtest/gtest.h>

namespace vanillaspar::serving
{

namespace
{

StoredRecord record(const std::string &name, int64_t revision, bool isDeleted = false)
{
    return {name, at(revision), revision, isDeleted};
}

class RecordMirrorTest : public testing::Test
{
protected:
    void SetUp() override
    {
        m_clock.setNow(Millis(1000));
    }
    void load()
    {
        m_mirror.tick();
        m_store.answer(kind, {StoreResult::Done, {record("x", 3), record("y", 5)}, false, at(9)});
    }
    void advance(int64_t millis)
    {
        m_clock.setNow(m_clock.now() + Millis(millis));
    }

    static constexpr Collection kind = Collection::Backends;
    VirtualClock m_clock;
    Random m_random {1};
    FakeLog m_log;
    FakeStore m_store;
    std::vector<StoredRecord> m_changes;
    RecordMirror m_mirror {m_store,
                           kind,
                           {Millis(5000), Millis(100)},
                           m_clock,
                           m_random,
                           m_log,
                           [this](const std::vector<StoredRecord> &records) {
                               m_changes.insert(m_changes.end(), records.begin(), records.end());
                           }};
};

TEST_F(RecordMirrorTest, ListsAllPagesAndWatchesFromTheOldest)
{
    m_mirror.tick();
    m_store.answer(kind, {StoreResult::Done, {record("x", 3)}, true, at(9)});
    ASSERT_EQ(m_store.reads.size(), 1U);
    EXPECT_EQ(m_store.reads[0].after, "x");
    m_store.answer(kind, {StoreResult::Done, {record("y", 5)}, false, at(12)});
    EXPECT_TRUE(m_mirror.isLoaded());
    EXPECT_EQ(m_changes.size(), 2U);
    m_mirror.tick();
    EXPECT_EQ(m_store.reads[0].since, at(9));
}

TEST_F(RecordMirrorTest, ARecordNeverGoesBack)
{
    load();
    m_mirror.tick();
    m_store.answer(kind, {StoreResult::Done, {record("y", 20)}, false, at(20)});
    m_changes.clear();
    advance(200);
    m_mirror.tick();
    m_store.answer(kind, {StoreResult::Done, {record("y", 5)}, false, at(21)});
    EXPECT_TRUE(m_changes.empty());
    EXPECT_EQ(m_mirror.records().at("y").position, at(20));
}

TEST_F(RecordMirrorTest, ListsAnewWhenTheHistoryIsGone)
{
    load();
    m_changes.clear();
    m_mirror.tick();
    m_store.answer(kind, {StoreResult::HistoryGone, {}, false, at(0)});
    m_mirror.tick();
    ASSERT_EQ(m_store.reads.size(), 1U);
    EXPECT_FALSE(m_store.reads[0].isWatch);
    m_store.answer(kind, {StoreResult::Done, {record("y", 5)}, false, at(30)});
    ASSERT_EQ(m_changes.size(), 1U) << "the record that is missing from the list was removed meanwhile";
    EXPECT_TRUE(m_changes[0].isDeleted);
    EXPECT_EQ(m_changes[0].name, "x");
}

TEST_F(RecordMirrorTest, AProofCountsFromWhenTheCallWasSent)
{
    load();
    m_mirror.tick();
    const Millis sentAt = m_clock.now();
    advance(4000);
    m_store.answer(kind, {StoreResult::Done, {}, false, at(9)});
    EXPECT_EQ(m_mirror.freshAsOf(), sentAt);
}

TEST_F(RecordMirrorTest, CallsThatFailAtOnceAreNotRepeatedAtOnce)
{
    // Guards against retrying a failed call without backoff, which sent 21,764 calls in 15 s on the platform. Here the
    // store refuses every call for 15 s.
    for (int i = 0; i < 1500; ++i) {
        advance(10);
        m_mirror.tick();
        m_store.answer(kind, {StoreResult::Failed, {}, false, at(0)});
    }
    EXPECT_LE(m_store.calls, 60U);
    EXPECT_GE(m_store.calls, 15U) << "it must notice the store's recovery within a second";
    EXPECT_EQ(m_log.count(EventCode::PlatformUnreachable), 1) << "logged once, not for each call";
}

TEST_F(RecordMirrorTest, AfterAFailureItAsksWithoutAWait)
{
    // Guards against a long poll as the first call after an outage: after one of 4.5 s, a collection without changes
    // counted as unreachable for 10 s more, until the watch timed out. No replica got a new owner meanwhile.
    load();
    m_mirror.tick();
    m_store.answer(kind, {StoreResult::Unknown, {}, false, at(0)});
    EXPECT_FALSE(m_mirror.isReachable());
    advance(1000);
    m_mirror.tick();
    ASSERT_EQ(m_store.reads.size(), 1U);
    EXPECT_EQ(m_store.reads[0].wait, Millis(1));
    m_store.answer(kind, {StoreResult::Done, {}, false, at(9)});
    EXPECT_TRUE(m_mirror.isReachable());
    m_mirror.tick();
    EXPECT_EQ(m_store.reads.at(0).wait, Millis(5000));
}

TEST_F(RecordMirrorTest, RefreshDoesNotWaitForTheOpenWatch)
{
    load();
    m_mirror.tick();
    advance(100);
    m_mirror.refresh();
    ASSERT_EQ(m_store.reads.size(), 1U);
    EXPECT_EQ(m_store.reads[0].wait, Millis(1));
}

TEST_F(RecordMirrorTest, RefreshLetsACallBeAnswered)
{
    // Guards against refreshes that cancel each other's calls: heartbeats reported a newer configuration to a host that
    // the store had refused, and each cancelled the open call, so that for 10 s no call was answered.
    load();
    m_mirror.tick();
    advance(100);
    m_mirror.refresh();
    const uint64_t calls = m_store.calls;
    for (int i = 0; i < 5; ++i) {
        advance(100);
        m_mirror.refresh();
    }
    EXPECT_EQ(m_store.calls, calls);
    m_store.answer(kind, {StoreResult::Done, {record("y", 20)}, false, at(20)});
    EXPECT_EQ(m_mirror.records().at("y").position, at(20));
}

TEST_F(RecordMirrorTest, RefreshDoesNotWaitForTheGap)
{
    // Guards against a refresh that waits for the poll interval after the last change, as when a heartbeat reports a
    // leaving replica.
    load();
    m_mirror.setIntervals({Millis(5000), Millis(20000)});
    m_mirror.tick();
    m_store.answer(kind, {StoreResult::Done, {record("y", 20)}, false, at(20)});
    advance(100);
    m_mirror.tick();
    EXPECT_TRUE(m_store.reads.empty());
    m_mirror.refresh();
    EXPECT_EQ(m_store.reads.size(), 1U);
}

TEST_F(RecordMirrorTest, AShorterGapIsInForceAtOnce)
{
    // When the hub that reported changes has failed, the host must poll by itself now, not after the old interval.
    load();
    m_mirror.setIntervals({Millis(5000), Millis(20000)});
    m_mirror.tick();
    m_store.answer(kind, {StoreResult::Done, {record("y", 20)}, false, at(20)});
    advance(1500);
    m_mirror.setIntervals({Millis(5000), Millis(1400)});
    m_mirror.tick();
    EXPECT_EQ(m_store.reads.size(), 1U);
}

TEST_F(RecordMirrorTest, ListsAgainInANewEraAndReportsAllRecords)
{
    // Guards against a mirror that keeps records of the history that was lost, as their revisions are higher.
    load();
    m_changes.clear();
    m_mirror.tick();
    const Millis sentAt = m_mirror.freshAsOf();
    m_store.answer(kind, {StoreResult::Done, {{"y", at(12, 1), 1, false}}, false, at(12, 1)});
    EXPECT_EQ(m_mirror.freshAsOf(), sentAt) << "the copy is not known to equal the restored store";
    ASSERT_EQ(m_store.reads.size(), 1U);
    EXPECT_FALSE(m_store.reads[0].isWatch);
    m_store.answer(kind, {StoreResult::Done, {{"y", at(4, 1), 2, false}}, false, at(8, 1)});
    ASSERT_EQ(m_changes.size(), 2U);
    EXPECT_TRUE(m_changes[0].isDeleted && m_changes[0].isRestored) << "x was written after the copy";
    EXPECT_EQ(m_changes[1].position, at(4, 1));
    EXPECT_TRUE(m_changes[1].isRestored);
    EXPECT_EQ(m_mirror.position(), at(8, 1));
}

TEST_F(RecordMirrorTest, AnAnswerOfAnEarlierEraIsDiscarded)
{
    // Guards against an answer that was on its way when the store was restored.
    load();
    m_mirror.tick();
    m_store.answer(kind, {StoreResult::HistoryGone, {}, false, at(0, 1)});
    m_store.answer(kind, {StoreResult::Done, {{"y", at(4, 1), 2, false}}, false, at(8, 1)});
    m_changes.clear();
    m_mirror.tick();
    m_store.answer(kind, {StoreResult::Done, {{"y", at(30), 3, false}}, false, at(30)});
    EXPECT_TRUE(m_changes.empty());
    EXPECT_EQ(m_mirror.position(), at(8, 1));
}

TEST_F(RecordMirrorTest, AListThatTheRestoreInterruptsStartsAgain)
{
    // Guards against a copy that joins pages of two histories.
    m_mirror.tick();
    m_store.answer(kind, {StoreResult::Done, {{"x", at(3), 1, false}}, true, at(9)});
    m_store.answer(kind, {StoreResult::Done, {{"y", at(3, 1), 1, false}}, false, at(4, 1)});
    ASSERT_EQ(m_store.reads.size(), 1U);
    EXPECT_EQ(m_store.reads[0].after, "");
    EXPECT_FALSE(m_mirror.isLoaded());
}

}

}
