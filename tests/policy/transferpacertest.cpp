#include "policy/transferpacer.h"

#include <algorithm>
#include <cmath>
#include <gtest/gtest.h>
#include <vector>

namespace vanillaspar
{

namespace
{

/** A weight store that transfers some adapters at full speed, and each slower in proportion if there are more. */
struct Store
{
    int64_t fullSpeedTransfers = 16;
    double fullSpeedMillis = 250;
};

struct Played
{
    double perSecond = 0; ///< Transfers completed.
    double meanMillis = 0; ///< Duration of a transfer.
    double worstMillis = 0;
};

/** Plays hosts that always have another adapter to transfer, and evaluates the transfers after a warm-up. */
Played play(const Store &store, int hostCount, bool isPaced)
{
    struct Transfer
    {
        int host = 0;
        Millis startedAt;
        double left = 1; ///< Part that isn't transferred yet.
        Millis incompleteAt {0};
        Millis checkAt {0};
    };
    constexpr Millis step(5);
    constexpr Millis warmUpEnd(6000);
    constexpr Millis end(20000);
    constexpr int unpacedPerHost = 12; // three replicas with four loads each
    std::vector<TransferPacer> pacers(static_cast<size_t>(hostCount));
    std::vector<Transfer> underWay;
    Played played;
    double completed = 0;
    for (Millis now(0); now < end; now += step) {
        const double speed = std::min(1.0,
                                      static_cast<double>(store.fullSpeedTransfers)
                                          / std::max<double>(1, static_cast<double>(underWay.size())));
        for (Transfer &transfer : underWay) {
            transfer.left -= static_cast<double>(step.value) * speed / store.fullSpeedMillis;
        }
        for (auto transfer = underWay.begin(); transfer != underWay.end();) {
            TransferPacer &pacer = pacers[static_cast<size_t>(transfer->host)];
            const Millis age = now - transfer->startedAt;
            if (age < transfer->checkAt) {
                ++transfer;
                continue;
            }
            if (transfer->left > 0) {
                transfer->incompleteAt = age;
                transfer->checkAt = pacer.nextCheckAge(age);
                ++transfer;
                continue;
            }
            pacer.onCompleted(transfer->incompleteAt, age, now);
            if (now >= warmUpEnd) {
                completed += 1;
                played.meanMillis += static_cast<double>(age.value);
                played.worstMillis = std::max(played.worstMillis, static_cast<double>(age.value));
            }
            transfer = underWay.erase(transfer);
        }
        for (int host = 0; host < hostCount; ++host) {
            TransferPacer &pacer = pacers[static_cast<size_t>(host)];
            auto own = std::count_if(underWay.begin(), underWay.end(), [&](const Transfer &transfer) {
                return transfer.host == host;
            });
            while (isPaced ? pacer.mayStart(own) : own < unpacedPerHost) {
                underWay.push_back({host, now, 1, Millis(0), pacer.nextCheckAge(Millis(0))});
                ++own;
            }
        }
    }
    played.meanMillis /= completed;
    played.perSecond = completed / toSeconds(end - warmUpEnd);
    return played;
}

class TransferPacerTest : public testing::TestWithParam<std::tuple<Store, int>>
{
};

TEST_P(TransferPacerTest, TransfersStayNearFullSpeedAndTheStoreStaysBusy)
{
    const auto &[store, hosts] = GetParam();
    const double capacity = static_cast<double>(store.fullSpeedTransfers) / store.fullSpeedMillis * 1000;
    const Played paced = play(store, hosts, true);
    EXPECT_LE(paced.meanMillis, store.fullSpeedMillis * 1.5);
    EXPECT_GE(paced.perSecond, capacity * 0.8);
    // Without pacing, nothing would be transferred in the time that callers wait.
    EXPECT_GE(play(store, hosts, false).meanMillis, store.fullSpeedMillis * 1.7);
}

INSTANTIATE_TEST_SUITE_P(Stores, TransferPacerTest,
                         testing::Values(std::make_tuple(Store {16, 250}, 6), std::make_tuple(Store {40, 250}, 6),
                                         std::make_tuple(Store {16, 500}, 6), std::make_tuple(Store {16, 62.5}, 6),
                                         std::make_tuple(Store {8, 250}, 3), std::make_tuple(Store {64, 250}, 20),
                                         std::make_tuple(Store {4, 1000}, 1)));

TEST(TransferPacer, ALoadThatEndedAtAnUnknownTimeSaysNothing)
{
    // The answers to most checks were lost.
    TransferPacer pacer;
    pacer.onCompleted(Millis(240), Millis(260), Millis(1000));
    const Millis before = pacer.expected();
    for (int load = 0; load < 20; ++load) {
        pacer.onCompleted(Millis(30), Millis(900), Millis(2000 + load));
    }
    EXPECT_EQ(pacer.expected(), before);
    EXPECT_TRUE(pacer.mayStart(1)) << "the limit wasn't lowered";
}

TEST(TransferPacer, NoticesThatTheStoreHasBecomeFaster)
{
    TransferPacer pacer;
    Millis now(0);
    const auto load = [&](Millis takes) {
        Millis incompleteAt(0);
        Millis age = pacer.nextCheckAge(Millis(0));
        for (; age < takes; age = pacer.nextCheckAge(age)) {
            incompleteAt = age;
        }
        now += age;
        pacer.onCompleted(incompleteAt, age, now);
    };
    for (int count = 0; count < 20; ++count) {
        load(Millis(250));
    }
    for (int count = 0; count < 60; ++count) {
        load(Millis(100));
    }
    EXPECT_LE(pacer.expected(), Millis(130));
}

TEST(TransferPacer, ALoadFromMemoryThatTookLongDoesNotSlowTheStoresTransfers)
{
    // Guards against a single short load that made all others look slow, so that one transfer at a time was left.
    TransferPacer pacer;
    for (int load = 0; load < 20; ++load) {
        pacer.onCompleted(Millis(240), Millis(250), Millis(1000 + load * 100));
    }
    pacer.onCompleted(Millis(78), Millis(88), Millis(4000));
    for (int load = 0; load < 20; ++load) {
        pacer.onCompleted(Millis(240), Millis(250), Millis(5000 + load * 100));
    }
    EXPECT_TRUE(pacer.mayStart(1));
}

TEST(TransferPacer, OneTransferIsAlwaysAllowed)
{
    TransferPacer pacer;
    pacer.onCompleted(Millis(240), Millis(250), Millis(0));
    for (int load = 0; load < 100; ++load) {
        pacer.onCompleted(Millis(1900), Millis(2000), Millis(100 + load));
    }
    EXPECT_TRUE(pacer.mayStart(0));
}

}

}
