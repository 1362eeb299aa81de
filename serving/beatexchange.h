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

/** What the exchange of beats works with. */
struct BeatContext
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
 * others. Whatever is told is counted once: from a host's speaker, never from a second hub that hears the host too.
 */
class BeatExchange
{
public:
    explicit BeatExchange(const BeatContext &context);

    /** Sends a round of beats. @param own what concerns this host alone. */
    void send(HostBeat own);
    /** Takes a beat that is newer than the sender's last one. */
    void take(const HostId &from, const HostBeat &beat);

private:
    BeatScope scopeFor(const HostId &receiver) const;
    /** Adds what this host and those that it speaks for use and have admitted. */
    void addOwn(HostBeat &beat) const;
    /** Adds what all hosts but the receiver use and have admitted. */
    void addAllOthers(HostBeat &beat, const HostId &receiver) const;
    /** @param receiver named if the beat tells it of all others; empty else. */
    void addTeams(HostBeat &beat, const HostId &receiver) const;
    /** Calls @p action with the quota of each team that the beat tells of, and what it tells. */
    template<class Action>
    void forEachTeam(const HostBeat &beat, Action action);
    void count(const HostId &from, const HostBeat &beat, bool isSpokenFor);
    /** Takes the levels of the hub that tells this host of all others. */
    void followLevels(const HostBeat &beat);
    void ignore(const HostId &host);
    /** Learns where a host's counts stand, for when this host speaks for it. */
    void follow(const HostId &from, const HostBeat &beat);
    void emptyQuotas();
    /** Tells the quotas how many hosts can't be heard of, and forgets what those used. */
    void followSilence();
    /** Tells the log which hosts came and which fell silent. */
    void tellChanges(std::set<HostId> live);

    BeatContext m_context;
    HostId m_source; ///< The hub that tells this host of all others; empty if this host hears the hubs itself.
    Millis m_sourceAt {0};
    std::set<HostId> m_liveHosts; ///< As told in the log last.
};

}
