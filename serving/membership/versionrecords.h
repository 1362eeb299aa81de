#pragma once

#include "serving/membership/copystate.h"
#include "serving/membership/recordmirror.h"

#include <algorithm>
#include <string>
#include <vector>

namespace vanillaspar
{
class Clock;
class EventLog;
class PeerLink;
class Random;
struct VersionProof;
}

namespace vanillaspar::serving
{

class AdapterVersions;
class FleetMembers;
class RecordDecoder;
class ResidencyMap;
struct PollIntervals;

/**
 * Mirrors the records that announce versions of adapters, and keeps the copy provably fresh.
 *
 * A watch on a connection that has fallen silent shows nothing. So the leader renews its watch often and tells the
 * others up to which moment its copy is complete; a host without such a proof asks the store itself.
 */
class VersionRecords
{
public:
    VersionRecords(StateStore &store, const RecordDecoder &decoder, const Clock &clock, Random &random, EventLog &log,
                   AdapterVersions &versions, const ResidencyMap &residency);

    /** Starts the next call to the store if it is due; to be called every few milliseconds. */
    void tick();
    /** @param isLeader whether the other hosts rely on this one's proofs. */
    void setIntervals(const PollIntervals &intervals, bool isLeader);
    /** Tells other hosts how fresh the copy is, four times a second; to be called after each round of heartbeats. */
    void sendProofs(const FleetMembers &members, PeerLink &peers);
    /** Applies another host's proof: this copy is as fresh, or behind and read at once. */
    void onProof(const VersionProof &proof, const FleetMembers &members);
    /**
     * The same for a copy of any era.
     *
     * @param copy the other host's, at the position of the newest announcement that it knows.
     */
    void onProof(const CopyState &copy);
    /** @return the position to state in proofs: of the newest announcement, in the era of the copy. */
    StorePosition position() const
    {
        return std::max(m_position, StorePosition(m_mirror.position().era, 0));
    }
    /** @return a time at which the copy is known to have equalled the store's, by its own calls or by a peer's proof.
     */
    Millis freshAsOf() const
    {
        return std::max(m_mirror.freshAsOf(), m_peerFreshAsOf);
    }
    RecordMirror &mirror()
    {
        return m_mirror;
    }
    const RecordMirror &mirror() const
    {
        return m_mirror;
    }

private:
    void onRecords(const std::vector<StoredRecord> &records);
    void announce(const StoredRecord &record);
    /** @return how many replicas hold which version of an adapter, as "VERSION:REPLICAS" separated by commas. */
    std::string describeHolders(const std::string &weights) const;

    const RecordDecoder &m_decoder;
    const Clock &m_clock;
    EventLog &m_log;
    AdapterVersions &m_versions;
    const ResidencyMap &m_residency;
    StorePosition m_position; ///< Of the newest announcement.
    Millis m_peerFreshAsOf {-1}; ///< By the proofs of other hosts.
    Millis m_proofsSentAt {0};
    RecordMirror m_mirror;
};

}
