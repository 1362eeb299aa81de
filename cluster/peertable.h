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
 * Probes other nodes and remembers what they answered.
 *
 * In a small fleet every peer is probed each round. In a large one only the successors on a hash ring and a few others
 * chosen at random are, so that the cost for a node stays the same.
 */
class PeerTable
{
public:
    /** Fills in what a ping tells about this node. */
    using PingFactory = std::function<Ping()>;

    PeerTable(const NodeSettings &settings, const Clock &clock, PeerLink &link, Random &random, PingFactory makePing);

    /** Names peers that this node waits for, which are probed as well. */
    void setExtraTargets(const std::set<HostId> &hosts);
    /** Sends the pings that are due. */
    void tick(const ClusterState &state);
    /** Takes the answer to a ping. @return when the ping was sent, or a negative time if it's unknown. */
    Millis onPong(const HostId &from, const Pong &pong);
    /** Notes that the peer at @p address refused a connection that was begun at @p startedAt. */
    void onConnectionRefused(const std::string &address, Millis startedAt, const ClusterState &state);

    /** @return whether @p host is one of the peers that this node keeps probing. */
    bool isProbedRegularly(const HostId &host) const;
    /** @return when the last answered ping to this incarnation was sent; the time of the first probe if none was. */
    Millis lastHeardAt(const HostId &host, const Incarnation &incarnation) const;
    /** @return whether the incarnation is proved to have ended. */
    bool isConfirmedDead(const HostId &host, const Incarnation &incarnation) const;
    /**
     * @param version the configuration that this node has in force.
     * @return whether every other member answered lately, and with no newer version, or is proved to be gone.
     */
    bool isConfirmedByAllPeers(const ClusterState &state, ConfigVersion version, Millis window) const;
    /** @return the peers that answered a ping within @p window. */
    std::vector<HostId> peersHeardWithin(Millis window) const;

private:
    struct Peer
    {
        Incarnation incarnation;
        Millis firstProbedAt;
        Millis heardAt {-1};
        bool isConnectionRefused = false;
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
    std::map<uint64_t, Millis> m_sentAt;
    std::set<HostId> m_extraTargets;
    std::map<HostId, Peer> m_peers;
    std::map<HostId, Millis> m_regularlyProbedUntil;
};

}
