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

    /** @param requestsFromPeers whether tokens are gathered from other hosts; without it each host has its even
     * share only. */
    QuotaKeeper(const NodeSettings &settings, const Clock &clock, PeerLink &link, Random &random,
                bool requestsFromPeers = true);

    /** @return the pseudo team whose tokens are loads from the weight store. */
    static const TeamId &weightStoreTeam();
    /** Tokens of storeTeam() that one load takes. */
    static constexpr Tokens tokensPerLoad {1000};

    /**
     * Follows the host that gives out loads from the weight store.
     *
     * @param address its peer address; empty if it is this host.
     */
    void setLoadCoordinator(const std::string &address);
    /** Follows a new configuration or new shares. */
    void configure(const ActiveConfig &config, const ClusterState &state, int64_t shares);
    /** Empties every bucket, after a loss of authority. */
    void reset();

    /**
     * Asks for tokens; the handler may be called at once.
     *
     * @param key the caller's number for the request, for cancel() and settle().
     * @param deadline when to give up.
     */
    void request(uint64_t key, const TeamId &team, Tokens amount, Millis deadline, Handler handler);
    /** Asks for one load from the weight store, for an adapter of @p beneficiary. */
    void requestLoad(uint64_t key, const TeamId &beneficiary, Millis deadline, Handler handler);
    /** Stops waiting for tokens; does nothing if they were granted. */
    void cancel(uint64_t key);
    /** Gives back what a granted request didn't use. */
    void settle(uint64_t key, Tokens unused);

    void onRequest(const std::string &address, const TokenRequest &request);
    void onGrant(const std::string &address, const TokenGrant &grant);
    void onRefund(const TokenRefund &refund);
    void tick();

    /** @return requests that wait for tokens. */
    size_t waitingCount() const;

private:
    struct PeerGrant
    {
        std::string address;
        uint64_t transfer = 0;
        double amount = 0;
        Millis usableUntil;
    };
    struct PendingRequest
    {
        uint64_t key = 0;
        double amount = 0;
        Millis requestedAt;
        Millis deadline;
        Handler handler;
        std::vector<PeerGrant> peerGrants;
        TeamId beneficiary; ///< Of a load.
    };
    struct TeamState
    {
        TeamQuota quota;
        double fleetRate = 0;
        std::deque<PendingRequest> pendingRequests;
        Millis nextPeerRequestAt;
        uint32_t peerRequestRound = 0;
    };
    struct GrantedRequest
    {
        TeamId team;
        uint64_t charge = 0;
        double local = 0;
        std::vector<PeerGrant> peerGrants;
    };
    struct SentRequest
    {
        TeamId team;
        uint64_t key = 0;
        Millis sentAt;
    };

    TeamState &stateOf(const TeamId &team);
    void setTeam(const TeamId &team, Tokens rate, Tokens burst, int64_t shares);
    void processPending(const TeamId &team, TeamState &state);
    void processPendingLoads(TeamState &state);
    bool tryGrant(const TeamId &team, TeamState &state, size_t index);
    void refuseExpired(TeamState &state);
    void requestFromPeers(const TeamId &team, TeamState &state);
    void requestFromLoadCoordinator(TeamState &state);
    void sendRequest(const std::string &peerAddress, const TeamId &team, const PendingRequest &pending, Tokens wanted,
                     Tokens minimum);
    double sumPeerGrants(const TeamId &team, PendingRequest &pending);
    void sendRefund(const TeamId &team, const PeerGrant &peerGrant, double amount);

    const NodeSettings &m_settings;
    const Clock &m_clock;
    PeerLink &m_link;
    Random &m_random;
    bool m_requestsFromPeers;
    std::map<TeamId, TeamState> m_teams;
    std::map<uint64_t, GrantedRequest> m_granted;
    std::map<uint64_t, SentRequest> m_sentRequests;
    Tokens m_loadRate;
    Tokens m_loadBurst;
    bool m_isLoadCoordinator = false;
    LoadFairness m_loadFairness;
    std::vector<std::string> m_loadCoordinators; // the host that gives out loads, if it is another
    std::vector<std::string> m_grantingPeers; // peer addresses of members with shares
    uint64_t m_nextRequestId;
};

}
