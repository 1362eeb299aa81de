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

/** What this host knows of another one. */
struct FleetMember
{
    DomainId domain;
    std::string peerAddress;
    std::string callerAddress;
    double capacity = 1; ///< Processor cores; the larger hosts of a domain become its hubs.
    bool isRelay = false; ///< Whether it answers requests for records.
    Millis knownSince; ///< When its record was first seen.
    bool isRecordLost = false; ///< Whether a restore of the store lost its record; the host writes it again.
    Millis heardDirectlyAt {-1}; ///< When its last heartbeat arrived; negative if none did.
    Millis relayedAt {-1}; ///< When a hub last relayed its status; negative if none did.
    HostStatus status; ///< The newest one, direct or relayed.
    HostHeartbeat heartbeat; ///< The last one received directly.

    /** @return when its last direct or relayed report arrived; when its record was first seen if none has. */
    Millis lastContact() const
    {
        return std::max({heardDirectlyAt, relayedAt, knownSince});
    }
};

/**
 * The hosts of the system: membership comes from the store's records, liveness from heartbeats.
 *
 * The two largest live hosts of a failure domain are its hubs. Hubs exchange heartbeats with each other. Every other
 * host is a leaf host: it exchanges heartbeats with the hubs of its domain alone, and the first of these hubs
 * aggregates its counts. So a leaf host's traffic doesn't grow with the number of hosts. In a fleet of two hosts for
 * each domain all hosts are hubs.
 */
class FleetMembers
{
public:
    FleetMembers(const ServingSettings &settings, Incarnation incarnation);

    /** @return the name of a host's record. */
    static std::string recordName(const HostId &host);
    static bool isHostRecord(const std::string &name);
    /**
     * Adds, changes or removes a host by its record.
     *
     * @throws DecodeError if the record can't be read; the host is removed then.
     */
    void onRecord(const StoredRecord &record, Millis now);

    /** To be called once the records of all hosts in the store were passed to onRecord(). */
    void setListed()
    {
        m_isListed = true;
    }
    /** @return whether all hosts that share the teams' quotas are known. */
    bool isListed() const
    {
        return m_isListed;
    }
    /**
     * Starts a round of heartbeats and selects the hubs again.
     *
     * @param isStopping whether this host shuts down, so that it can't be a hub.
     * @return the round's sequence number.
     */
    uint64_t beginRound(bool isStopping, Millis now);
    /** Records a heartbeat. @return whether the sender is known and the heartbeat newer than its last one. */
    bool onHeartbeat(const HostId &from, const HostHeartbeat &heartbeat, Millis now);
    /**
     * @param heartbeat of the host that has the copy.
     * @param freshness of a copy, as stated in that heartbeat.
     * @return a time, by this host's clock, at which the copy equalled the store's record; negative if unknown.
     *
     * The sender made its heartbeat after it had received the round that it echoes. The stated age is subtracted from
     * the time at which this host sent that round, so the result is never too late.
     */
    Millis freshAsOf(const HostHeartbeat &heartbeat, const RecordFreshness &freshness) const
    {
        return freshAsOf(heartbeat.echoedSequence, freshness);
    }
    /** The same for a message that echoes the round @p echoedSequence of this incarnation. */
    Millis freshAsOf(uint64_t echoedSequence, const RecordFreshness &freshness) const;

    const std::map<HostId, FleetMember> &peers() const
    {
        return m_peers;
    }
    /** @return all hosts that are known, this one included. */
    int64_t hostCount() const
    {
        return static_cast<int64_t>(m_peers.size()) + 1;
    }
    /** @return whether a direct or relayed report of the host arrived within the last 700 ms. */
    bool isLive(const HostId &host, Millis now) const;
    /** @return whether a heartbeat of the host itself arrived within the last 700 ms. */
    bool isHeardDirectly(const HostId &host, Millis now) const;
    /**
     * Selects one of the live hosts that serve, which all hosts with the same view agree on. This host must serve
     * itself.
     *
     * @param key what the host is selected for.
     * @return whether it is this host.
     */
    bool isSelected(const std::string &key, Millis now) const;
    /** @return whether the host is unknown, or has been silent for more than 5 s. */
    bool isLost(const HostId &host, Millis now) const;
    /** @return whether this host considered @p host a hub when the round began. */
    bool isHub(const HostId &host) const
    {
        return m_hubs.count(host) > 0;
    }
    const std::set<HostId> &hubs() const
    {
        return m_hubs;
    }
    /** @return the hub that aggregates a host's counts; for a hub, the hub itself. Empty if there is none. */
    HostId hubOf(const HostId &host) const;
    /** @return this host's leaf hosts whose heartbeats arrive. */
    std::set<HostId> leafHosts(Millis now) const;
    /** @return the hosts to which this one sends heartbeats. */
    std::set<HostId> heartbeatTargets(Millis now) const;
    /** @return the addresses of these hosts. */
    std::vector<std::string> heartbeatAddresses(Millis now) const;
    /**
     * @return whether this host is the leader: the hub with the lowest name among the live hubs that reach the store.
     *
     * Hosts with different views may both consider themselves the leader for a moment.
     */
    bool isLeader(Millis now) const;
    /** @return the first hub by name that is this host, or is live and reaches the store; empty if there is none. */
    HostId leader(Millis now) const;
    /** @return the hosts of this host's domain that are its hubs if all live, by the store's records alone. */
    std::vector<HostId> largestOfDomain() const;
    /**
     * @param domain of the caller. If there are more hosts than callers accept, those of this domain and then the
     *     largest ones are preferred.
     * @param isReady whether this host serves.
     * @return addresses of the live hosts that serve, of this one too if it does.
     */
    std::vector<std::string> callerAddresses(const DomainId &domain, bool isReady, Millis now) const;
    const Incarnation &incarnation() const
    {
        return m_incarnation;
    }

private:
    /** A host as a hub candidate; larger hosts come first, then lower names. */
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
    /** Removes hosts that have no record and are silent. */
    void removeUnrecorded(Millis now);

    const ServingSettings &m_settings;
    Incarnation m_incarnation;
    std::map<HostId, FleetMember> m_peers;
    std::unordered_map<uint32_t, HostId> m_byShortId;
    std::set<HostId> m_hubs;
    std::map<DomainId, HostId> m_primaryHubs;
    std::map<DomainId, std::vector<HostId>> m_hubCandidates; ///< Hubs, and higher ranked hosts that may return.
    bool m_isListed = false;
    uint64_t m_round = 0;
    std::map<uint64_t, Millis> m_roundSentAt;
};

}
