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

/** Dependencies of HeartbeatExchange. */
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
 * Sends this host's heartbeats and applies those of other hosts.
 *
 * Heartbeats carry what hosts use of the replicas and what they have admitted for each team. A hub reports to the other
 * hubs for itself and its leaf hosts, and reports to each of its leaf hosts for all other hosts. Each host's figures
 * are counted once: as reported by its hub, never again by another hub that receives its heartbeats as well.
 */
class HeartbeatExchange
{
public:
    explicit HeartbeatExchange(const HeartbeatContext &context);

    /**
     * Sends one round of heartbeats; to be called every 100 ms.
     *
     * @param own the state of this host alone; usage, teams and relayed hosts are added for each receiver.
     */
    void send(HostHeartbeat own);
    /**
     * Applies a heartbeat that FleetMembers::onHeartbeat() accepted.
     *
     * @param from the sender.
     * @param heartbeat its content.
     */
    void receive(const HostId &from, const HostHeartbeat &heartbeat);
    /** Empties the copies of the token buckets, for when it isn't known what other hosts have admitted. */
    void emptyTokenBuckets();

private:
    HeartbeatScope scopeFor(const HostId &receiver) const;
    /** Adds usage and admitted tokens of this host and its leaf hosts. */
    void addOwnAndLeafHosts(HostHeartbeat &heartbeat) const;
    /** Adds usage and admitted tokens of all hosts but the receiver. */
    void addAllButReceiver(HostHeartbeat &heartbeat, const HostId &receiver) const;
    /** @param receiver the host to leave out if the heartbeat reports for all others; empty otherwise. */
    void addTeams(HostHeartbeat &heartbeat, const HostId &receiver) const;
    /** Calls @p action with each team's quota that the heartbeat reports on, and with that report. */
    template<class Action>
    void forEachTeam(const HostHeartbeat &heartbeat, Action action);
    /** Replaces what @p from reported before. @param isOwnLeafHost whether this host is the sender's hub. */
    void applyReport(const HostId &from, const HostHeartbeat &heartbeat, bool isOwnLeafHost);
    /** Adopts the bucket levels of the hub that relays all other hosts to this one. */
    void adoptLevels(const HostHeartbeat &heartbeat);
    /** Removes what a host reported from the usage and the quotas. */
    void discardReport(const HostId &host);
    /** Records a host's counters without applying them, as the baseline if this host becomes its hub. */
    void trackCounts(const HostId &from, const HostHeartbeat &heartbeat);
    /** Passes the number of unreachable hosts to the quotas, and drops the usage of these hosts. */
    void updateReachability();
    /** Logs which hosts became reachable and which unreachable. */
    void logHostChanges(std::set<HostId> live);

    HeartbeatContext m_context;
    HostId m_relay; ///< The hub that reports for all other hosts; empty if this host receives the hubs' reports itself.
    Millis m_relayHeardAt {0};
    std::set<HostId> m_loggedLiveHosts; ///< As last logged.
};

}
