#pragma once

#include "cluster/messages/fleet.h"
#include "core/ids.h"
#include "core/units.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace vanillaspar::serving
{

struct ServingSettings;
struct StoredRecord;

/** Another host, as this one knows it. */
struct FleetMember
{
    DomainId domain;
    std::string peerAddress;
    std::string callerAddress;
    double capacity = 1; ///< Processor cores; the larger hosts of a domain become its hubs.
    Millis knownSince; ///< When its record was first seen.
    Millis heardDirectlyAt {-1}; ///< When its last heartbeat came.
    Millis relayedAt {-1}; ///< When a hub last said that it lives.
    HostStatus status; ///< The newest, heard or told.
    HostHeartbeat heartbeat; ///< The last one that was heard.

    /** @return when there was a sign of it last, or when it was first known of if there was none. */
    Millis lastContact() const
    {
        return std::max({heardDirectlyAt, relayedAt, knownSince});
    }
};

/**
 * The hosts of the system: who is there by the store's records, and who lives by their heartbeats.
 *
 * The first two live hosts of a failure domain, the largest first, are its hubs. Hubs hear each other; every other host
 * hears its domain's hubs only, and the first of them speaks for it. So what a host sends and hears doesn't grow with
 * the number of hosts. In a fleet of two hosts for each domain all are hubs and hear each other.
 */
class FleetMembers
{
public:
    FleetMembers(const ServingSettings &settings, Incarnation incarnation);

    /** @return the name of a host's record. */
    static std::string recordName(const HostId &host);
    static bool isHostRecord(const std::string &name);
    /** Follows a host's record. @throws DecodeError if it can't be read. */
    void onRecord(const StoredRecord &record, Millis now);

    /** Says that the records of all hosts that the store has were followed. */
    void setListed()
    {
        m_isListed = true;
    }
    /** @return whether the hosts that share the teams' quotas are known. */
    bool isListed() const
    {
        return m_isListed;
    }
    /** Notes that a round of heartbeats is sent, and finds the hubs anew. @return its sequence number. */
    uint64_t beginRound(bool isStopping, Millis now);
    /** Takes a heartbeat. @return whether it is newer than the last one. */
    bool onHeartbeat(const HostId &from, const HostHeartbeat &heartbeat, Millis now);
    /**
     * @return since when at the latest the member's copy was proven, seen from here; negative if unknown.
     *
     * The member's heartbeat was made after it had this host's round that it echoes, so its age counts from then at
     * most.
     */
    Millis freshAsOf(const HostHeartbeat &heartbeat, const RecordFreshness &proof) const;

    const std::map<HostId, FleetMember> &peers() const
    {
        return m_peers;
    }
    /** @return all hosts that are known, this one included. */
    int64_t hostCount() const
    {
        return static_cast<int64_t>(m_peers.size()) + 1;
    }
    /** @return whether there was a sign of the host lately. */
    bool isLive(const HostId &host, Millis now) const;
    /** @return whether the host's own heartbeats come. */
    bool isHeardDirectly(const HostId &host, Millis now) const;
    /** @return whether no sign has come for so long that the host counts as lost. */
    bool isLost(const HostId &host, Millis now) const;
    /** @return whether the host is a hub, by this host's view at the start of the round. */
    bool isHub(const HostId &host) const
    {
        return m_hubs.count(host) > 0;
    }
    const std::set<HostId> &hubs() const
    {
        return m_hubs;
    }
    /** @return the hub that speaks for a host to the other hubs; a hub speaks for itself. Empty if there is none. */
    HostId hubOf(const HostId &host) const;
    /** @return hosts that this one speaks for and hears. */
    std::set<HostId> leafHosts(Millis now) const;
    /** @return hosts that this one sends its heartbeats to. */
    std::set<HostId> heartbeatTargets(Millis now) const;
    /** @return whether this host has the lowest name of the live hubs that reach the store. */
    bool isLeader(Millis now) const;
    /**
     * @return addresses that callers should use: of live hosts that serve, this one included if @p isReady.
     * @param domain where the caller is; its hosts and the large ones go first if there are more than callers take.
     */
    std::vector<std::string> callerAddresses(const DomainId &domain, bool isReady, Millis now) const;
    const Incarnation &incarnation() const
    {
        return m_incarnation;
    }

private:
    /** A host as a possible hub; the first in order goes first. */
    struct Rank
    {
        double capacity;
        HostId host;

        bool operator<(const Rank &other) const
        {
            return capacity != other.capacity ? capacity > other.capacity : host < other.host;
        }
    };

    void selectHubs(bool isStopping, Millis now);

    const ServingSettings &m_settings;
    Incarnation m_incarnation;
    std::map<HostId, FleetMember> m_peers;
    std::unordered_map<uint32_t, HostId> m_byShortId;
    std::set<HostId> m_hubs;
    std::map<DomainId, HostId> m_primaryHubs;
    std::map<DomainId, std::vector<HostId>> m_hubCandidates; ///< Hubs, and hosts before them that may come back.
    bool m_isListed = false;
    uint64_t m_round = 0;
    std::map<uint64_t, Millis> m_roundSentAt;
};

}
