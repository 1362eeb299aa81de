#include "serving/beatexchange.h"

#include "core/random.h"
#include "policy/fleetquota.h"
#include "serving/admission.h"
#include "serving/backendtable.h"
#include "serving/fleetmembers.h"
#include "serving/servingsettings.h"
#include "tests/fakes/servingfakes.h"

#include <gtest/gtest.h>

namespace vanillaspar::serving
{

namespace
{

constexpr int64_t roundMillis = 100;

/** One host of the fleet below. */
struct FleetHost
{
    FleetHost(const ServingSettings &own, const VirtualClock &clock)
        : settings(own)
        , members(settings, Incarnation(settings.host.text() + "/1"))
        , beats({settings, clock, peers, log, members, admission, backends})
    {
        backends.upsert(makeBackend("e1", "engines"), clock.now());
        ServingConfig config = makeConfig();
        config.teams[0].rate = 100000;
        config.teams[0].burst = 100000;
        admission.setConfig(std::make_shared<ServingConfig>(config), Millis(0));
    }
    FleetQuota &quota()
    {
        return admission.quotas().at(TeamId("house"));
    }

    ServingSettings settings;
    FakePeers peers;
    FakeLog log;
    Random random {1};
    Admission admission {random};
    BackendTable backends;
    FleetMembers members;
    BeatExchange beats;
    bool isRunning = true;
};

/** Hosts of three failure domains that send each other beats, which arrive in the next round. */
class BeatExchangeTest : public testing::Test
{
protected:
    /** Starts @p perDomain hosts in each domain; the first two of each are larger. */
    void start(size_t perDomain)
    {
        for (size_t i = 0; i < perDomain * 3; ++i) {
            ServingSettings settings;
            const std::string number = std::to_string(100 + i);
            settings.host = HostId("h" + number);
            settings.domain = DomainId(std::string(1, static_cast<char>('a' + i % 3)));
            settings.peerAddress = number;
            settings.callerAddress = "caller-" + number;
            settings.capacity = i / 3 < 2 ? 0.5 : 0.12;
            m_hosts.push_back(std::make_unique<FleetHost>(settings, m_clock));
        }
        for (const auto &host : m_hosts) {
            for (const auto &other : m_hosts) {
                const nlohmann::json content {{"domain", other->settings.domain.text()},
                                              {"peer", other->settings.peerAddress},
                                              {"caller", other->settings.callerAddress},
                                              {"capacity", other->settings.capacity}};
                host->members.onRecord({FleetMembers::recordName(other->settings.host), 1, content, false},
                                       m_clock.now());
            }
        }
    }
    void play(int64_t rounds)
    {
        for (int64_t i = 0; i < rounds; ++i) {
            m_clock.setNow(m_clock.now() + Millis(roundMillis));
            deliver();
            for (const auto &host : m_hosts) {
                if (host->isRunning) {
                    HostBeat own;
                    own.incarnation = host->members.incarnation();
                    own.isReady = true;
                    own.reachesStore = true;
                    host->beats.send(own);
                }
            }
        }
    }
    void deliver()
    {
        for (const auto &from : m_hosts) {
            for (const auto &[address, message] : std::exchange(from->peers.sent, {})) {
                FleetHost &to = *m_hosts[std::stoul(address) - 100];
                const auto &beat = std::get<HostBeat>(message);
                ++m_received[address];
                if (to.isRunning && to.members.onBeat(from->settings.host, beat, m_clock.now())) {
                    to.beats.take(from->settings.host, beat);
                }
            }
        }
    }
    /** @return hosts that the host knows to live, itself not counted. */
    size_t liveAt(const FleetHost &host) const
    {
        size_t live = 0;
        for (const auto &[name, member] : host.members.peers()) {
            live += host.members.isLive(name, m_clock.now()) ? 1 : 0;
        }
        return live;
    }
    /** Sends a request to the engine from every running host, and admits @p tokens for the team there. */
    void useEverywhere(double tokens)
    {
        for (const auto &host : m_hosts) {
            host->backends.onSent(ReplicaId("e1"), 10, 0);
            EXPECT_TRUE(host->quota().take(tokens, m_clock.now()));
        }
    }

    VirtualClock m_clock;
    std::vector<std::unique_ptr<FleetHost>> m_hosts;
    std::map<std::string, int64_t> m_received;
};

TEST_F(BeatExchangeTest, InASmallFleetAllHearEachOther)
{
    start(2);
    play(10);
    for (const auto &host : m_hosts) {
        EXPECT_EQ(host->members.hubs().size(), 6U);
        EXPECT_EQ(host->members.beatTargets(m_clock.now()).size(), 5U);
        EXPECT_EQ(liveAt(*host), 5U);
    }
}

TEST_F(BeatExchangeTest, AHostHearsOfAllButSendsToFew)
{
    start(30);
    play(20);
    m_received.clear();
    play(10);
    for (const auto &host : m_hosts) {
        EXPECT_EQ(liveAt(*host), 89U) << host->settings.host.text();
        EXPECT_EQ(host->members.hubs().size(), 6U);
        if (!host->members.isHub(host->settings.host)) {
            EXPECT_EQ(host->members.beatTargets(m_clock.now()).size(), 2U);
            EXPECT_LE(m_received[host->settings.peerAddress], 10) << "five times a second from each of two hubs";
        }
    }
}

TEST_F(BeatExchangeTest, TheLargeHostsOfADomainAreItsHubs)
{
    start(30);
    play(20);
    for (const HostId &hub : m_hosts[50]->members.hubs()) {
        EXPECT_LT(hub, HostId("h106"));
    }
}

TEST_F(BeatExchangeTest, WhatAllUseAndAdmitIsCountedOnce)
{
    start(10);
    play(20);
    for (const auto &host : m_hosts) {
        EXPECT_EQ(host->quota().admitted(), 0);
    }
    play(20); // buckets start empty
    useEverywhere(100);
    play(10);
    for (const auto &host : m_hosts) {
        EXPECT_EQ(host->backends.find(ReplicaId("e1"))->peers.running, 29) << host->settings.host.text();
        EXPECT_EQ(host->quota().admittedByAllBut(HostId()), 3000) << host->settings.host.text();
    }
}

TEST_F(BeatExchangeTest, WhenBothHubsOfADomainFailOthersTakeTheirPlace)
{
    start(10);
    play(40);
    useEverywhere(100);
    play(10);
    m_hosts[0]->isRunning = false;
    m_hosts[3]->isRunning = false;
    play(25);
    for (const auto &host : m_hosts) {
        if (host->isRunning) {
            EXPECT_EQ(liveAt(*host), 27U) << host->settings.host.text();
            EXPECT_EQ(host->backends.find(ReplicaId("e1"))->peers.running, 27) << host->settings.host.text();
        }
    }
    // What is admitted from now on is counted once by everybody, also after the old hubs are back.
    m_hosts[0]->isRunning = true;
    m_hosts[3]->isRunning = true;
    play(25);
    std::map<HostId, int64_t> before;
    for (const auto &host : m_hosts) {
        before[host->settings.host] = host->quota().admittedByAllBut(HostId());
    }
    useEverywhere(100);
    play(10);
    for (const auto &host : m_hosts) {
        EXPECT_EQ(host->quota().admittedByAllBut(HostId()) - before[host->settings.host], 3000)
            << host->settings.host.text();
    }
}

TEST_F(BeatExchangeTest, BothSidesOfACutAddUpToTheWholeQuota)
{
    start(10);
    play(40);
    // A failure domain that is cut off knows ten of thirty hosts to live, the others know twenty.
    for (const auto &host : m_hosts) {
        host->isRunning = host->settings.domain == DomainId("a");
    }
    play(30);
    for (const auto &host : m_hosts) {
        if (host->isRunning) {
            EXPECT_EQ(liveAt(*host), 9U);
            EXPECT_LE(host->quota().level(m_clock.now()), 100000.0 / 3 + 1);
        }
    }
}

TEST_F(BeatExchangeTest, CallersOfALargeFleetGetTheirDomainAndTheLargeHosts)
{
    start(30);
    play(20);
    const std::vector<std::string> addresses = m_hosts[40]->members.callerAddresses(DomainId("b"), true, m_clock.now());
    EXPECT_EQ(addresses.size(), 64U);
    const std::vector<std::string> again = m_hosts[7]->members.callerAddresses(DomainId("b"), true, m_clock.now());
    EXPECT_EQ(std::set<std::string>(addresses.begin(), addresses.end()),
              std::set<std::string>(again.begin(), again.end()))
        << "whichever host answers, callers keep their connections";
    for (size_t i = 0; i < m_hosts.size(); ++i) {
        const bool isOwnOrLarge = i % 3 == 1 || i / 3 < 2;
        if (isOwnOrLarge) {
            EXPECT_EQ(std::count(addresses.begin(), addresses.end(), m_hosts[i]->settings.callerAddress), 1);
        }
    }
}

}

}
