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
 * Finds members that have stopped and takes over what they held.
 *
 * A silent member's lease is watched. Once it stayed unchanged for the short lease it is fenced by a conditional write,
 * which a racing renewal makes fail; replicas that check fencing numbers then change owner. Everything else waits for
 * proof that the incarnation has ended, or for the end of its long lease.
 */
class LeaseWatcher
{
public:
    LeaseWatcher(const NodeSettings &settings, const Clock &clock, ObjectClient &objects, ClusterStore &store,
                 const PeerTable &peers, EventLog &log);

    /** @param config tells which replicas check fencing numbers; may be nullptr. */
    void tick(const ActiveConfig *config);
    /** Forgets every observation, after a pause. */
    void reset();

private:
    struct Suspect
    {
        Incarnation incarnation;
        ObjectVersion version;
        Millis unchangedSince {-1};
        Millis nextReadAt;
        bool isBusy = false;
        bool isFenced = false;
        bool isBeingRemoved = false;
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
