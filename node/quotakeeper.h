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
 * Manages this host's shares of the teams' token buckets and borrows tokens from other hosts.
 *
 * A request for more tokens than the local bucket holds stays pending for a short time, during which other hosts are
 * sent token requests. The rate of loads from the weight store is limited in the same way, as the bucket of the pseudo
 * team weightStoreTeam(). That bucket is held whole by one host, the load granter.
 */
class QuotaKeeper
{
public:
    /** Called once for each request that isn't cancelled; @p retryAfter counts only if the tokens were not granted. */
    using Handler = std::function<void(bool isGranted, Millis retryAfter)>;

    /** @param requestsFromPeers whether to request tokens from other hosts; if not, a host has only its own shares. */
    QuotaKeeper(const NodeSettings &settings, const Clock &clock, PeerLink &link, Random &random,
                bool requestsFromPeers = true);

    /** @return the pseudo team whose tokens are loads from the weight store. */
    static const TeamId &weightStoreTeam();
    /** Tokens of weightStoreTeam() that one load takes. */
    static constexpr Tokens tokensPerLoad {1000};

    /**
     * Sets the load granter: the host that grants loads from the weight store.
     *
     * @param address its peer address; empty if it is this host.
     */
    void setLoadGranter(const std::string &address);
    /**
     * Applies a new configuration, cluster state or number of shares.
     *
     * @param shares this host's shares, out of ClusterState::totalShares.
     */
    void configure(const ActiveConfig &config, const ClusterState &state, int64_t shares);
    /** Empties every bucket and drops tokens from other hosts, after the lease was lost. */
    void reset();

    /**
     * Requests tokens; the handler may be called before this returns.
     *
     * @param key identifies the request in cancel() and settle().
     * @param deadline when the request fails if it is still pending.
     */
    void request(uint64_t key, const TeamId &team, Tokens amount, Millis deadline, Handler handler);
    /** Requests one load from the weight store, for an adapter of team @p beneficiary. */
    void requestLoad(uint64_t key, const TeamId &beneficiary, Millis deadline, Handler handler);
    /** Cancels a pending request and refunds its tokens from other hosts; does nothing if it was granted. */
    void cancel(uint64_t key);
    /** Refunds the tokens that a granted request didn't use, first to the local bucket, then to other hosts. */
    void settle(uint64_t key, Tokens unused);

    /** Grants tokens to another host if the bucket has them, no local request is older, and loads are fairly shared. */
    void onRequest(const std::string &address, const TokenRequest &request);
    void onGrant(const std::string &address, const TokenGrant &grant);
    void onRefund(const TokenRefund &refund);
    /** Retries pending requests and fails those past their deadline. */
    void tick();

    /** @return the number of pending requests. */
    size_t waitingCount() const;

private:
    /** Tokens received from another host. */
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
        TeamId beneficiary; ///< The team that a load is for; empty for other tokens.
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
    /** A token request to another host that may still be answered. */
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
    void requestFromLoadGranter(TeamState &state);
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
    bool m_isLoadGranter = false;
    LoadFairness m_loadFairness;
    std::vector<std::string> m_loadGranters; // at most one, none if it is this host
    std::vector<std::string> m_grantingPeers; // peer addresses of members with shares
    uint64_t m_nextRequestId;
};

}
