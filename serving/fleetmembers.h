#pragma once

#include "cluster/messages/fleet.h"
#include "core/ids.h"
#include "core/units.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace vanillaspar::serving
{

struct ServingSettings;
struct StoredRecord;

/** Another host, as this one knows it. */
struct FleetMember
{
    HostId host;
    DomainId domain;
    std::string peerAddress;
    std::string callerAddress;
    Millis knownSince; ///< When its record was first seen.
    Millis heardAt {-1}; ///< When its last beat came.
    HostBeat beat; ///< The last one.

    /** @return when the host was heard last, or first known of if it never was. */
    Millis lastSign() const
    {
        return std::max(heardAt, knownSince);
    }
};

/** The hosts of the system: who is there by the store's records, and who lives by their beats. */
class FleetMembers
{
public:
    FleetMembers(const ServingSettings &settings, Incarnation incarnation);

    /** @return the name of a host's record. */
    static std::string recordName(const HostId &host);
    static bool isHostRecord(const std::string &name);
    /** Follows a host's record. @throws DecodeError if it can't be read. */
    void onRecord(const StoredRecord &record, Millis now);

    /** Notes that a round of beats is sent. @return its sequence number. */
    uint64_t beginRound(Millis now);
    /** Takes a beat. @return whether it is newer than the last one. */
    bool onBeat(const HostId &from, const HostBeat &beat, Millis now);
    /**
     * @return since when at the latest the member's copy was proven, seen from here; negative if unknown.
     *
     * The member's beat was made after it had this host's round that it echoes, so its age counts from then at most.
     */
    Millis proofTime(const HostBeat &beat, const RecordProof &proof) const;

    const std::map<HostId, FleetMember> &peers() const
    {
        return m_peers;
    }
    /** @return all hosts that are known, this one included. */
    int64_t hostCount() const
    {
        return static_cast<int64_t>(m_peers.size()) + 1;
    }
    /** @return whether a beat came lately. */
    bool isLive(const HostId &host, Millis now) const;
    /** @return whether no beat has come for so long that the host counts as lost. */
    bool isLost(const HostId &host, Millis now) const;
    /** @return addresses that callers should use: of live hosts that serve, this one included if @p isReady. */
    std::vector<std::string> callerAddresses(bool isReady, Millis now) const;
    /** @return whether this host has the lowest name of the live ones. */
    bool isFirst(Millis now) const;
    const Incarnation &incarnation() const
    {
        return m_incarnation;
    }

private:
    const ServingSettings &m_settings;
    Incarnation m_incarnation;
    std::map<HostId, FleetMember> m_peers;
    uint64_t m_round = 0;
    std::map<uint64_t, Millis> m_roundSentAt;
};

}
