#pragma once

#include "cluster/clusterstate.h"
#include "cluster/message.h"

#include <functional>
#include <map>
#include <set>
#include <vector>

namespace vanillaspar
{

class Clock;
class PeerLink;
class Random;
struct NodeSettings;

/**
 * Failure detector: pings other hosts and records their answers.
 *
 * With up to eight members, each host pings every other one each round (full mesh). With more, it pings only its
 * successors on a hash ring, the hosts given to setExtraTargets() and some chosen at random, each second heartbeat
 * interval, so that the cost for each host doesn't grow with the cluster.
 */
class PeerTable
{
public:
    /** Creates a ping with this host's state; the sequence number is set later. */
    using PingFactory = std::function<Ping()>;

    PeerTable(const NodeSettings &settings, const Clock &clock, PeerLink &link, Random &random, PingFactory makePing);

    /** Sets further hosts to ping regularly, such as owners that this host waits for. Replaces the previous set. */
    void setExtraTargets(const std::set<HostId> &hosts);
    /** Sends the pings that are due; also to the seed addresses while this host isn't an active member. */
    void tick(const ClusterState &state);
    /**
     * Records the answer to a ping.
     *
     * @return when the ping was sent, or a negative time if it was answered before or timed out.
     */
    Millis onPong(const HostId &from, const Pong &pong);
    /**
     * Records that a connection was refused, which shows that no process listens at the address any more.
     *
     * @param address the peer's IP number and port.
     * @param startedAt when the connection attempt started; ignored if the incarnation became known only after that.
     */
    void onConnectionRefused(const std::string &address, Millis startedAt, const ClusterState &state);

    /** @return whether this host pings @p host in every round, so that its silence means something. */
    bool isProbedRegularly(const HostId &host) const;
    /**
     * @return when the last ping that this incarnation answered was sent; the time of the first ping if none was
     * answered; now if this incarnation was never pinged.
     */
    Millis lastHeardAt(const HostId &host, const Incarnation &incarnation) const;
    /**
     * @return whether the incarnation has certainly ended: its address refuses connections, or another incarnation
     * of the host has answered.
     */
    bool isConfirmedDead(const HostId &host, const Incarnation &incarnation) const;
    /**
     * Checks that no other member knows a newer configuration.
     *
     * @param version version of this host's active configuration.
     * @param window maximum age of the last answered ping.
     * @return whether every other member either answered within @p window with no newer version, or is confirmed dead.
     */
    bool isConfirmedByAllPeers(const ClusterState &state, ConfigVersion version, Millis window) const;
    /** @return the peers that answered a ping that was sent within the last @p window. */
    std::vector<HostId> peersHeardWithin(Millis window) const;

private:
    struct Peer
    {
        Incarnation incarnation;
        Millis firstProbedAt; ///< When this incarnation was first pinged.
        Millis heardAt {-1}; ///< When the last answered ping was sent; negative if none was answered.
        bool isConnectionRefused = false; ///< Whether its address has refused a connection since the last answer.
        ConfigVersion configVersion;
    };

    std::vector<HostId> chooseTargets(const ClusterState &state);
    void markProbedRegularly(const std::vector<HostId> &hosts);
    void probe(const HostId &host, const Member &member);
    void probeSeeds();

    const NodeSettings &m_settings;
    const Clock &m_clock;
    PeerLink &m_link;
    Random &m_random;
    PingFactory m_makePing;
    Millis m_nextRoundAt;
    uint64_t m_nextSequence = 1;
    std::map<uint64_t, Millis> m_sentAt; // unanswered pings by sequence number
    std::set<HostId> m_extraTargets;
    std::map<HostId, Peer> m_peers;
    std::map<HostId, Millis> m_regularlyProbedUntil;
};

}
