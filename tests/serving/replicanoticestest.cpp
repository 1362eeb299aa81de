#include "serving/replicas/replicanotices.h"

#include "core/random.h"
#include "tests/fakes/dispatchfixture.h"

#include <gtest/gtest.h>
#include <iostream>
#include <map>

namespace vanillaspar::serving
{

namespace
{

constexpr Millis step(10);
constexpr int64_t replicas = 4;
constexpr Millis returnTime(500); // after which a replica that asked for a pause expects it to be kept

/** What the replicas of a service saw in a run, and what callers got. */
struct NoticeRun
{
    int64_t breaches = 0; ///< Requests that arrived within a pause or after a replica said that it leaves.
    int64_t rejected = 0;
    int64_t retries = 0;
    int64_t served = 0;
    int64_t refused = 0;
};

/** One host and a service whose replicas ask for pauses by turns and are replaced, in virtual time. */
class NoticePlay : protected DispatchFixture
{
public:
    /** @param hearsNotices whether the host applies what the replicas say of themselves. */
    NoticePlay(uint64_t seed, bool hearsNotices) : DispatchFixture(seed), m_hearsNotices(hearsNotices)
    {
        startDispatch(Millis(1000000000));
        for (const char *fake : {"s1", "s2"}) {
            m_backends.remove(ReplicaId(fake), m_clock.now());
        }
        for (int64_t i = 0; i < replicas; ++i) {
            start(i, 1);
        }
    }
    NoticeRun play(Millis duration)
    {
        const Millis end = m_clock.now() + duration;
        uint64_t exchange = 0;
        while (m_clock.now() < end) {
            m_clock.setNow(m_clock.now() + step);
            ++exchange;
            m_dispatcher.onRequest(makeRequest(exchange, exchange % 3 == 0 ? "/b/x" : "/l/x", {}, m_clock.now()));
            changeReplicas();
            answerAttempts();
            m_dispatcher.tick();
        }
        for (const auto &[number, answer] : m_callers.answers) {
            m_run.served += answer.isFinished ? 1 : 0;
            m_run.refused += answer.refusal ? 1 : 0;
        }
        m_run.retries = m_log.count(EventCode::RequestResent);
        return m_run;
    }

private:
    struct Replica
    {
        int64_t incarnation = 0;
        Millis busyUntil {-1}; ///< It rejects until then.
        Millis pauseFrom {-1}; ///< Requests from then to the end of the pause are a breach.
        Millis pauseEnd {-1};
        Millis endsAt {-1}; ///< It says that it is leaving until then; negative if it doesn't leave.
        bool hasToldLeaving = false;
        uint64_t sentBeforeNotice = 0; ///< The last attempt that was sent before its last notice was read.
    };

    static std::string nameOf(int64_t number)
    {
        return "p" + std::to_string(number);
    }
    void start(int64_t number, int64_t incarnation)
    {
        m_replicas[nameOf(number)] = {incarnation};
        Backend backend = makeBackend(nameOf(number), "desk");
        backend.residency.incarnation = incarnation;
        m_backends.upsert(backend, m_clock.now());
    }
    void changeReplicas()
    {
        const Millis now = m_clock.now();
        for (int64_t i = 0; i < replicas; ++i) {
            Replica &replica = m_replicas[nameOf(i)];
            if (replica.endsAt.value >= 0 && now >= replica.endsAt) {
                start(i, replica.incarnation + 1);
            } else if (replica.endsAt.value < 0 && m_random.below(600) == 0) {
                replica.endsAt = now + Millis(static_cast<int64_t>(500 + m_random.below(2500)));
            } else if (now >= replica.busyUntil && m_random.below(150) == 0) {
                replica.busyUntil = now + Millis(static_cast<int64_t>(200 + m_random.below(3000)));
            }
        }
    }
    void answerAttempts()
    {
        const Millis now = m_clock.now();
        const std::vector<FakeAttempts::Sent> batch = std::exchange(m_attempts.sent, {});
        for (const FakeAttempts::Sent &sent : batch) {
            Replica &replica = m_replicas[sent.replica.text()];
            const bool isInPause = now >= replica.pauseFrom && now < replica.pauseEnd;
            const bool wasOnItsWay = sent.attempt <= replica.sentBeforeNotice;
            m_run.breaches += (isInPause || replica.hasToldLeaving) && !wasOnItsWay ? 1 : 0;
            const bool isRejected = now < replica.busyUntil;
            ReplicaNotice notice;
            notice.isLeaving = replica.endsAt.value >= 0;
            replica.hasToldLeaving = notice.isLeaving;
            if (isRejected) {
                ++m_run.rejected;
                notice.pause = replica.busyUntil - now;
                replica.pauseFrom = now + returnTime;
                replica.pauseEnd = replica.busyUntil;
            }
            if (!notice.isEmpty()) {
                replica.sentBeforeNotice = (m_attempts.sent.empty() ? batch : m_attempts.sent).back().attempt;
            }
            if (m_hearsNotices) {
                m_notices.onReplicaNotice(sent.replica, replica.incarnation, notice);
            }
            HttpHead head;
            head.status = isRejected ? 503 : 200;
            m_dispatcher.onAttemptHead(sent.attempt, {head, !isRejected, isRejected, false, false});
            m_dispatcher.onAttemptEnd(sent.attempt, UpstreamEnd::Complete);
        }
    }

    bool m_hearsNotices;
    std::map<std::string, Replica> m_replicas;
    NoticeRun m_run;
};

TEST(ReplicaNotices, ReplicasThatPauseByTurnsAndAreReplacedGetNothingThatTheyDidNotWant)
{
    NoticeRun with;
    NoticeRun without;
    for (uint64_t seed = 1; seed <= 50; ++seed) {
        const NoticeRun heard = NoticePlay(seed, true).play(Millis(30000));
        const NoticeRun unheard = NoticePlay(seed, false).play(Millis(30000));
        EXPECT_EQ(heard.breaches, 0) << "seed " << seed;
        for (auto [sum, run] : {std::pair(&with, &heard), std::pair(&without, &unheard)}) {
            sum->breaches += run->breaches;
            sum->rejected += run->rejected;
            sum->retries += run->retries;
            sum->served += run->served;
            sum->refused += run->refused;
        }
    }
    EXPECT_GT(without.breaches, 0) << "the play does bring them about";
    EXPECT_LT(with.rejected, without.rejected / 2);
    EXPECT_LT(with.retries, without.retries);
    EXPECT_GE(with.served, without.served);
    std::cout << "with and without notices: rejected " << with.rejected << " " << without.rejected << ", retries "
              << with.retries << " " << without.retries << ", served " << with.served << " " << without.served
              << ", refused " << with.refused << " " << without.refused << ", breaches " << with.breaches << " "
              << without.breaches << "\n";
}

TEST(ReplicaNotices, AHostThatIsToldOfALeavingReplicaKeepsAwayForAsLongAsItIsTold)
{
    BackendTable backends;
    backends.upsert(makeBackend("r1", "desk"), Millis(0));
    BackendState &state = *backends.find(ReplicaId("r1"));
    for (int64_t now = 0; now <= 20000; now += 100) {
        backends.onLeavingReported(state.shortId, Millis(now));
        backends.recentlyLeaving(Millis(now), Millis(now));
        EXPECT_FALSE(state.isUsable()) << now;
    }
    backends.recentlyLeaving(Millis(25100), Millis(25100));
    EXPECT_TRUE(state.isUsable()) << "a report without a confirming entry expires";
}

}

}
