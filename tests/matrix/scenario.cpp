#include "tests/matrix/scenario.h"

#include "core/hash.h"
#include "tests/fakes/fleet.h"

namespace vanillaspar
{

namespace
{

constexpr int teamCount = 2;
constexpr int adaptersPerTeam = 4; // that most scenarios ask for
constexpr int allAdaptersPerTeam = 14; // more than there are slots
constexpr Millis startTime(9000);

std::string team(int index)
{
    return "team-" + std::to_string(index);
}

std::string secret(int index)
{
    return "secret-" + team(index);
}

std::string adapter(int teamIndex, int index)
{
    return team(teamIndex) + "-adapter-" + std::to_string(index) + "@1";
}

Document smallDocument()
{
    Document document;
    document.weightStore = {20, 4};
    Route booking;
    booking.name = RouteName("booking");
    booking.pool = PoolId("booking");
    booking.isIdempotent = false;
    Route stock = booking;
    stock.name = RouteName("stock");
    stock.isIdempotent = true;
    Route open;
    open.name = RouteName("public");
    open.isOpen = true;
    open.adapter = AdapterRef(adapter(0, 0));
    for (int i = 0; i < teamCount; ++i) {
        document.teams.push_back({TeamId(team(i)), Tokens(i == 0 ? 3000 : 120), Tokens(i == 0 ? 6000 : 240)});
        document.keys.push_back({KeyId(team(i) + "-key"), TeamId(team(i)), sha256Hex(secret(i))});
        booking.teams.emplace_back(team(i));
        stock.teams.emplace_back(team(i));
        for (int j = 0; j < allAdaptersPerTeam; ++j) {
            document.adapters.push_back({AdapterRef(adapter(i, j)), TeamId(team(i)), PoolId("draft")});
        }
    }
    for (int i = 0; i < 4; ++i) {
        document.replicas.push_back({ReplicaId("engine-" + std::to_string(i)), PoolId("draft"),
                                     DomainId("domain-" + std::to_string(i % 3)), "10.1.0.1:1", true, i % 2 == 0, 2,
                                     3});
    }
    for (int i = 0; i < 2; ++i) {
        document.replicas.push_back({ReplicaId("service-" + std::to_string(i)), PoolId("booking"), DomainId("domain-0"),
                                     "10.1.0.2:1", false, false, 1, 8});
    }
    document.routes = {booking, stock, open};
    return document;
}

std::string payload(const Fleet &fleet, const char *what)
{
    return std::string(what) + " " + std::to_string(fleet.nextCaller);
}

void ask(Fleet &fleet, size_t host, int teamIndex, int adapterIndex, Millis deadline = Millis(0))
{
    fleet.request(host, secret(teamIndex), adapter(teamIndex, adapterIndex), payload(fleet, "ask"), Tokens(40), false,
                  {}, deadline);
}

void askAt(Fleet &fleet, Millis after, size_t host, int teamIndex, int adapterIndex)
{
    fleet.at(fleet.clock.now() + after, [&fleet, host, teamIndex, adapterIndex] {
        ask(fleet, host, teamIndex, adapterIndex);
    });
}

void playIdempotent(Fleet &fleet)
{
    ask(fleet, 0, 0, 0);
    ask(fleet, 1, 1, 1);
    fleet.request(2, secret(0), "stock", payload(fleet, "stock"), Tokens(1), true);
    fleet.request(1, {}, "public", payload(fleet, "open"), Tokens(20));
}

void playRefused(Fleet &fleet)
{
    fleet.request(0, "nonsense", adapter(0, 0), payload(fleet, "wrong key"), Tokens(20));
    fleet.request(1, secret(1), adapter(0, 0), payload(fleet, "crossed"), Tokens(20));
    fleet.request(2, {}, adapter(0, 0), payload(fleet, "no key"), Tokens(20));
    fleet.request(2, secret(0), adapter(0, 2), payload(fleet, "right"), Tokens(20));
    ask(fleet, 0, 0, 3, Millis(120)); // too short for a load
}

void playLoads(Fleet &fleet)
{
    // Every adapter at once on eight slots, then other hosts ask for the same ones again.
    for (int i = 0; i < adaptersPerTeam; ++i) {
        askAt(fleet, Millis(i * 40), static_cast<size_t>(i) % 3, 0, i);
        askAt(fleet, Millis(20 + i * 40), static_cast<size_t>(i + 1) % 3, 1, i);
        askAt(fleet, Millis(700 + i * 40), static_cast<size_t>(i + 2) % 3, 0, i);
    }
}

/** Loads and unloads all the time, until orders that were held up by a long pause have arrived. */
void playLateOrder(Fleet &fleet)
{
    for (int i = 0; i < 560; ++i) {
        askAt(fleet, Millis(i * 50), static_cast<size_t>(i) % 3, 0, i % allAdaptersPerTeam);
    }
}

void playBooking(Fleet &fleet)
{
    const std::string body = payload(fleet, "furnace");
    fleet.request(0, secret(0), "booking", body, Tokens(1), true, "key-1");
    for (int retry = 1; retry <= 3; ++retry) {
        const Millis after(retry == 1 ? 15 : retry * 400);
        fleet.at(fleet.clock.now() + after, [&fleet, body, retry] {
            fleet.request(static_cast<size_t>(retry) % 3, secret(0), "booking", body, Tokens(1), true, "key-1");
        });
    }
    fleet.at(fleet.clock.now() + Millis(12'000), [&fleet, body] {
        fleet.request(2, secret(0), "booking", body, Tokens(1), true, "key-1");
    });
    fleet.request(1, secret(1), "booking", payload(fleet, "van"), Tokens(1), true);
}

void playWithdrawal(Fleet &fleet)
{
    ask(fleet, 0, 0, 0);
    fleet.at(fleet.clock.now() + Millis(60), [&fleet] {
        fleet.withdrawKey(secret(0));
    });
    for (int i = 0; i < 36; ++i) {
        askAt(fleet, Millis(100 + i * 400), static_cast<size_t>(i) % 3, 0, i % adaptersPerTeam);
    }
}

void playConfigChange(Fleet &fleet)
{
    const auto change = [&fleet](int64_t rate, int64_t basedOn) {
        Document next = fleet.document;
        next.teams[0].rate = Tokens(rate);
        fleet.accept(next, basedOn);
    };
    ask(fleet, 0, 0, 1);
    fleet.at(fleet.clock.now() + Millis(30), [=, &fleet] {
        const int64_t seen = fleet.documentVersion;
        change(500, seen);
        change(400, seen); // the loser of a race changes nothing
    });
    fleet.at(fleet.clock.now() + Millis(90), [=, &fleet] {
        change(550, fleet.documentVersion);
    });
    askAt(fleet, Millis(120), 2, 0, 2);
}

void playRate(Fleet &fleet)
{
    // Team 1 sends five times its rate, first through one host, then through all.
    for (int i = 0; i < 60; ++i) {
        fleet.at(fleet.clock.now() + Millis(i * 24), [&fleet, i] {
            const size_t host = i < 20 ? 0 : static_cast<size_t>(i) % 3;
            fleet.request(host, secret(1), adapter(1, 0), payload(fleet, "rate"), Tokens(12));
        });
    }
    for (int i = 0; i < 6; ++i) {
        askAt(fleet, Millis(i * 160), 2, 0, 0);
    }
}

void playShutdown(Fleet &fleet)
{
    for (int i = 0; i < 4; ++i) {
        ask(fleet, 1, i % 2, i % adaptersPerTeam);
    }
    fleet.request(1, secret(0), "booking", payload(fleet, "van"), Tokens(1), true, "key-2");
    fleet.at(fleet.clock.now() + Millis(40), [&fleet] {
        fleet.terminate(1);
    });
    askAt(fleet, Millis(200), 1, 0, 1);
    askAt(fleet, Millis(300), 0, 0, 2);
    askAt(fleet, Millis(4000), 2, 1, 2);
}

void playTakeover(Fleet &fleet)
{
    ask(fleet, 0, 0, 0);
    ask(fleet, 2, 1, 1);
    fleet.at(fleet.clock.now() + Millis(100), [&fleet] {
        fleet.crash(1, true);
    });
    for (int i = 0; i < 6; ++i) {
        askAt(fleet, Millis(150 + i * 150), i % 2 == 0 ? 0 : 2, i % 2, i % adaptersPerTeam);
    }
    fleet.at(fleet.clock.now() + Millis(900), [&fleet] {
        if (!fleet.isAlive(1)) {
            fleet.startHost(1);
        }
    });
}

void playSilentLoss(Fleet &fleet)
{
    ask(fleet, 0, 0, 0);
    fleet.at(fleet.clock.now() + Millis(100), [&fleet] {
        fleet.crash(2, false); // no connection is refused, as after a loss of power
    });
    for (int i = 0; i < 8; ++i) {
        askAt(fleet, Millis(150 + i * 1200), i % 2 == 0 ? 0 : 1, i % 2, i % adaptersPerTeam);
    }
}

void playLeaving(Fleet &fleet)
{
    ask(fleet, 0, 0, 0);
    fleet.at(fleet.clock.now() + Millis(50), [&fleet] {
        fleet.setLeaving({ReplicaId("engine-1"), ReplicaId("service-0")});
    });
    for (int i = 0; i < 10; ++i) {
        askAt(fleet, Millis(100 + i * 500), static_cast<size_t>(i) % 3, i % 2, i % adaptersPerTeam);
    }
}

void playColdStart(Fleet &fleet)
{
    // All hosts but one are replaced while the platform is down.
    fleet.platformDownUntil = fleet.clock.now() + Millis(6000);
    for (size_t host : {size_t(1), size_t(2)}) {
        fleet.at(fleet.clock.now() + Millis(50), [&fleet, host] {
            fleet.crash(host, true);
        });
        fleet.at(fleet.clock.now() + Millis(250), [&fleet, host] {
            if (!fleet.isAlive(host)) {
                fleet.startHost(host);
            }
        });
    }
    for (int i = 0; i < 8; ++i) {
        askAt(fleet, Millis(500 + i * 900), static_cast<size_t>(i) % 3, i % 2, i % adaptersPerTeam);
    }
}

}

const std::vector<Scenario> &scenarios()
{
    static const std::vector<Scenario> all {
        {"idempotent", playIdempotent, Millis(900)},
        {"refused", playRefused, Millis(600)},
        {"loads", playLoads, Millis(1500)},
        {"booking", playBooking, Millis(700)},
        {"withdrawal", playWithdrawal, Millis(500)},
        {"config-change", playConfigChange, Millis(500)},
        {"rate", playRate, Millis(500)},
        {"shutdown", playShutdown, Millis(1200)},
        {"takeover", playTakeover, Millis(1300)},
        {"silent-loss", playSilentLoss, Millis(900)},
        {"leaving", playLeaving, Millis(600)},
        {"cold-start", playColdStart, Millis(1200)},
        {"late-order", playLateOrder, Millis(1500), "pause-before-send"},
    };
    return all;
}

std::unique_ptr<Fleet> makeFleet(uint64_t seed)
{
    FleetOptions options;
    options.seed = seed;
    options.settings.renewInterval = Millis(1000);
    options.settings.shortLease = Millis(4000);
    options.settings.leaseMargin = Millis(500);
    options.settings.longLease = Millis(20'000);
    options.settings.longestDeadline = Millis(8000);
    options.settings.defaultDeadline = Millis(8000);
    options.settings.reportLag = Millis(500);
    options.settings.maxOrderDelay = Millis(18'000);
    options.settings.confirmLimit = Millis(4500);
    auto fleet = std::make_unique<Fleet>(options, smallDocument());
    fleet->start();
    fleet->runUntil(startTime);
    return fleet;
}

}
