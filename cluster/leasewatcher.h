#pragma once

#include "cluster/clusterstate.h"

#include <map>

namespace vanillaspar
{

class ActiveConfig;
class Clock;
class ClusterStore;
class EventLog;
class ObjectClient;
class PeerTable;
struct NodeSettings;
struct ObjectReply;

/**
 * Detects failed members, fences their leases and gives their replicas and quota shares to the remaining members.
 *
 * A member that doesn't answer pings is suspected, and its lease object is polled. When the lease has not been renewed
 * for the short lease time, it is fenced by a conditional write, which fails if the member renews meanwhile. Replicas
 * that check fencing numbers then get a new owner at once, since they refuse the former owner's requests. The other
 * replicas and the shares move only when the incarnation is confirmed dead or its long lease has ended.
 */
class LeaseWatcher
{
public:
    /**
     * @param objects client of the platform's object API.
     * @param store the cluster state, which is read and changed.
     * @param peers tells which members are silent or confirmed dead.
     */
    LeaseWatcher(const NodeSettings &settings, const Clock &clock, ObjectClient &objects, ClusterStore &store,
                 const PeerTable &peers, EventLog &log);

    /**
     * Checks every other member.
     *
     * @param config tells which replicas check fencing numbers; nullptr while no configuration is known, and nothing
     * is moved until then.
     */
    void tick(const ActiveConfig *config);
    /** Discards all observations, after this process was paused: what it saw before is too old to judge by. */
    void reset();

private:
    /** A member that is silent or confirmed dead, with what is known of its lease. */
    struct Suspect
    {
        Incarnation incarnation;
        ObjectVersion version; ///< Newest known version of its lease object.
        Millis unchangedSince {-1}; ///< When the last renewal was first seen; negative before the first read.
        Millis nextReadAt;
        bool isBusy = false; ///< Whether a read or write for it is pending.
        bool isFenced = false; ///< Whether its lease object is marked as fenced.
        bool isBeingRemoved = false; ///< Whether a change that removes it from the members is pending.
    };

    void checkMember(const HostId &host, const Member &member, const ActiveConfig *config);
    void read(const HostId &host);
    void onRead(const HostId &host, const Incarnation &incarnation, const ObjectReply &reply);
    void fence(const HostId &host, Suspect &suspect);
    void moveFencedReplicas(const HostId &host, const Incarnation &incarnation, const ActiveConfig &config);
    void remove(const HostId &host, Suspect &suspect, bool isConfirmedDead, const ActiveConfig &config);
    Suspect *find(const HostId &host, const Incarnation &incarnation);

    const NodeSettings &m_settings;
    const Clock &m_clock;
    ObjectClient &m_objects;
    ClusterStore &m_store;
    const PeerTable &m_peers;
    EventLog &m_log;
    uint64_t m_generation = 0;
    std::map<HostId, Suspect> m_suspects;
};

}
