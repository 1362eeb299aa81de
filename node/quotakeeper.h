#pragma once

#include "cluster/messages/quota.h"
#include "core/ids.h"
#include "core/units.h"
#include "policy/loadfairness.h"
#include "policy/teamquota.h"

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace vanillaspar
{

class ActiveConfig;
class Clock;
class PeerLink;
class Random;
struct ClusterState;
struct NodeSettings;

/**
 * Keeps this host's parts of the teams' token buckets and gathers tokens from other hosts.
 *
 * A request that finds too few tokens here waits a short while, during which other hosts are asked for theirs. The
 * weight store's load rate is kept in the same way, as the pseudo team storeTeam().
 */
class QuotaKeeper
{
public:
    /** Told once for each request(): whether the tokens were granted, and if not, when to try again. */
    using Handler = std::function<void(bool isGranted, Millis retryAfter)>;

    /** @param asksPeers whether tokens are gathered from other hosts; without it each host has its even share only. */
    QuotaKeeper(const NodeSettings &settings, const Clock &clock, PeerLink &link, Random &random,
                bool asksPeers = true);

    /** @return the pseudo team whose tokens are loads from the weight store. */
    static const TeamId &storeTeam();
    /** Tokens of storeTeam() that one load takes. */
    static constexpr Tokens loadCost {1000};

    /**
     * Follows the host that gives out loads from the weight store.
     *
     * @param address its peer address; empty if it is this host.
     */
    void setStoreHome(const std::string &address);
    /** Follows a new configuration or new shares. */
    void configure(const ActiveConfig &config, const ClusterState &state, int64_t shares);
    /** Empties every bucket, after a loss of authority. */
    void reset();

    /**
     * Asks for tokens; the handler may be called at once.
     *
     * @param item the caller's number for the request, for cancel() and settle().
     * @param waitUntil when to give up.
     */
    void request(uint64_t item, const TeamId &team, Tokens amount, Millis waitUntil, Handler handler);
    /** Asks for one load from the weight store, for an adapter of @p beneficiary. */
    void requestLoad(uint64_t item, const TeamId &beneficiary, Millis waitUntil, Handler handler);
    /** Stops waiting for tokens; does nothing if they were granted. */
    void cancel(uint64_t item);
    /** Gives back what a granted request didn't use. */
    void settle(uint64_t item, Tokens unused);

    void onAsk(const std::string &address, const TokenRequest &ask);
    void onGrant(const std::string &address, const TokenGrant &grant);
    void onRefund(const TokenRefund &refund);
    void tick();

    /** @return requests that wait for tokens. */
    size_t waitingCount() const;

private:
    struct Gift
    {
        std::string address;
        uint64_t transfer = 0;
        double amount = 0;
        Millis usableUntil;
    };
    struct Waiter
    {
        uint64_t item = 0;
        double amount = 0;
        Millis since;
        Millis until;
        Handler handler;
        std::vector<Gift> gifts;
        TeamId beneficiary; ///< Of a load.
    };
    struct TeamState
    {
        TeamQuota quota;
        double fleetRate = 0;
        std::deque<Waiter> waiters;
        Millis nextAskAt;
        uint32_t askRound = 0;
    };
    struct Granted
    {
        TeamId team;
        uint64_t charge = 0;
        double local = 0;
        std::vector<Gift> gifts;
    };
    struct Asked
    {
        TeamId team;
        uint64_t item = 0;
        Millis sentAt;
    };

    TeamState &stateOf(const TeamId &team);
    void setTeam(const TeamId &team, Tokens rate, Tokens burst, int64_t shares);
    void serve(const TeamId &team, TeamState &state);
    void serveLoads(TeamState &state);
    bool tryGrant(const TeamId &team, TeamState &state, size_t index);
    void refuseOverdue(TeamState &state);
    void askPeers(const TeamId &team, TeamState &state);
    void askForLoads(TeamState &state);
    void sendAsk(const std::string &giver, const TeamId &team, const Waiter &waiter, Tokens wanted, Tokens least);
    double gathered(const TeamId &team, Waiter &waiter);
    void giveBack(const TeamId &team, const Gift &gift, double amount);

    const NodeSettings &m_settings;
    const Clock &m_clock;
    PeerLink &m_link;
    Random &m_random;
    bool m_asksPeers;
    std::map<TeamId, TeamState> m_teams;
    std::map<uint64_t, Granted> m_granted;
    std::map<uint64_t, Asked> m_asked;
    Tokens m_storeRate;
    Tokens m_storeBurst;
    bool m_isStoreHome = false;
    LoadFairness m_loadFairness;
    std::vector<std::string> m_storeGivers; // the host that gives out loads, if it is another
    std::vector<std::string> m_givers; // peer addresses of members with shares
    uint64_t m_nextAsk;
};

}
