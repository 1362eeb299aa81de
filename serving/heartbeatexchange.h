#pragma once

#include "cluster/messages/fleet.h"
#include "core/ids.h"
#include "core/units.h"

#include <set>

namespace vanillaspar
{
class Clock;
class EventLog;
class PeerLink;
}

namespace vanillaspar::serving
{

class Admission;
class BackendTable;
class FleetMembers;
struct ServingSettings;

/** What the exchange of heartbeats works with. */
struct HeartbeatContext
{
    const ServingSettings &settings;
    const Clock &clock;
    PeerLink &peers;
    EventLog &log;
    FleetMembers &members;
    Admission &admission;
    BackendTable &backends;
};

/**
 * Tells other hosts what this one uses and has admitted, and takes in what they tell.
 *
 * A hub tells the other hubs of itself and of the hosts that it speaks for, and tells each of these hosts of all
 * others. Whatever is told is counted once: from a host's hub, never from a second hub that hears the host too.
 */
class HeartbeatExchange
{
public:
    explicit HeartbeatExchange(const HeartbeatContext &context);

    /** Sends a round of heartbeats. @param own what concerns this host alone. */
    void send(HostHeartbeat own);
    /** Takes a heartbeat that is newer than the sender's last one. */
    void receive(const HostId &from, const HostHeartbeat &heartbeat);

private:
    HeartbeatScope scopeFor(const HostId &receiver) const;
    /** Adds what this host and those that it speaks for use and have admitted. */
    void addOwnAndLeafHosts(HostHeartbeat &heartbeat) const;
    /** Adds what all hosts but the receiver use and have admitted. */
    void addAllButReceiver(HostHeartbeat &heartbeat, const HostId &receiver) const;
    /** @param receiver named if the heartbeat tells it of all others; empty else. */
    void addTeams(HostHeartbeat &heartbeat, const HostId &receiver) const;
    /** Calls @p action with the quota of each team that the heartbeat tells of, and what it tells. */
    template<class Action>
    void forEachTeam(const HostHeartbeat &heartbeat, Action action);
    void applyReport(const HostId &from, const HostHeartbeat &heartbeat, bool isOwnLeafHost);
    /** Takes the levels of the hub that tells this host of all others. */
    void adoptLevels(const HostHeartbeat &heartbeat);
    void discardReport(const HostId &host);
    /** Learns where a host's counts stand, for when this host speaks for it. */
    void trackCounts(const HostId &from, const HostHeartbeat &heartbeat);
    void emptyTokenBuckets();
    /** Tells the quotas how many hosts can't be heard of, and forgets what those used. */
    void updateReachability();
    /** Tells the log which hosts came and which fell silent. */
    void logHostChanges(std::set<HostId> live);

    HeartbeatContext m_context;
    HostId m_relay; ///< The hub that tells this host of all others; empty if this host hears the hubs itself.
    Millis m_relayHeardAt {0};
    std::set<HostId> m_loggedLiveHosts; ///< As told in the log last.
};

}
