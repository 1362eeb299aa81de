#include "serving/membership/versionrecords.h"

#include "cluster/message.h"
#include "cluster/peerlink.h"
#include "core/clock.h"
#include "core/error.h"
#include "core/eventlog.h"
#include "serving/interfaces/recorddecoder.h"
#include "serving/membership/fleetmembers.h"
#include "serving/membership/pollintervals.h"
#include "serving/replicas/adapterversions.h"
#include "serving/replicas/residencymap.h"

#include <algorithm>
#include <map>

namespace vanillaspar::serving
{

namespace
{

constexpr Millis proofInterval(250);
// Parts of the time for which an outdated version may be used. A copy of the leader's is at most two watches old.
constexpr double leaderWatch = 0.15;
constexpr double oldestCopy = 0.6;

}

VersionRecords::VersionRecords(StateStore &store, const RecordDecoder &decoder, const Clock &clock, Random &random,
                               EventLog &log, AdapterVersions &versions, const ResidencyMap &residency)
    : m_decoder(decoder)
    , m_clock(clock)
    , m_log(log)
    , m_versions(versions)
    , m_residency(residency)
    , m_mirror(store, Collection::AdapterVersions, {hubPolling.watchTimeout, hubPolling.versionPollInterval}, clock,
               random, log, [this](const std::vector<StoredRecord> &records) {
                   onRecords(records);
               })
{
}

void VersionRecords::tick()
{
    if (m_mirror.isLoaded() && m_clock.now() - freshAsOf() > m_versions.limit() * oldestCopy) {
        m_mirror.refresh();
    }
    m_mirror.tick();
}

void VersionRecords::setIntervals(const PollIntervals &intervals, bool isLeader)
{
    const Millis watchTimeout
        = isLeader ? std::min(m_versions.limit() * leaderWatch, intervals.watchTimeout) : intervals.watchTimeout;
    m_mirror.setIntervals({watchTimeout, intervals.versionPollInterval});
}

void VersionRecords::sendProofs(const FleetMembers &members, PeerLink &peers)
{
    const Millis now = m_clock.now();
    if (now - m_proofsSentAt < proofInterval || !m_mirror.isLoaded() || position().era > 0) {
        return; // StoreProofs states copies of a later era
    }
    m_proofsSentAt = now;
    for (const HostId &host : members.heartbeatTargets(now)) {
        const FleetMember &member = members.peers().at(host);
        if (member.heartbeat.sequence > 0) {
            peers.send(member.peerAddress,
                       VersionProof {member.heartbeat.sequence,
                                     member.heartbeat.incarnation,
                                     {m_position.revision, (now - freshAsOf()).value}});
        }
    }
}

void VersionRecords::onProof(const VersionProof &proof, const FleetMembers &members)
{
    if (proof.echoedIncarnation == members.incarnation()) {
        onProof({{0, proof.versions.revision}, members.freshAsOf(proof.echoedSequence, proof.versions)});
    }
}

void VersionRecords::onProof(const CopyState &copy)
{
    if (!m_mirror.isLoaded()) {
        return;
    }
    // The copy is complete up to the mirror's revision, which may be newer than any announcement that is left.
    if (copy.position > m_mirror.position()) {
        m_mirror.refresh();
    } else if (copy.position >= position()) {
        m_peerFreshAsOf = std::max(m_peerFreshAsOf, copy.freshAsOf);
    }
}

void VersionRecords::onRecords(const std::vector<StoredRecord> &records)
{
    for (const StoredRecord &record : records) {
        if (record.isDeleted) {
            continue; // an announcement is replaced, never taken back
        }
        try {
            announce(record);
        } catch (const Error &error) {
            m_log.record(EventCode::StoreRecordRejected, record.name, error.what());
        }
    }
}

void VersionRecords::announce(const StoredRecord &record)
{
    const Millis now = m_clock.now();
    const auto [weights, version] = m_decoder.adapterVersion(record);
    const int64_t previous = m_versions.newestVersion(weights);
    const bool isListed = m_mirror.changesSince().value < 0;
    const Millis since = std::max(m_mirror.changesSince(), m_peerFreshAsOf);
    m_position = std::max(m_position, record.position);
    // A list shows announcements of any age: a host that starts must not allow the version before once more.
    m_versions.announce(weights, version, isListed ? AdapterVersions::unknownTime : since);
    if (!isListed && version > previous) {
        m_log.record(EventCode::VersionAnnounced, weights,
                     "version=" + std::to_string(version) + " previous=" + std::to_string(previous)
                         + " revision=" + record.position.text() + " unread_ms=" + std::to_string((now - since).value)
                         + " holders=" + describeHolders(weights));
    }
}

std::string VersionRecords::describeHolders(const std::string &weights) const
{
    std::map<int64_t, int> counts;
    for (const auto &[replica, residency] : m_residency.holders(weights)) {
        ++counts[residency.version];
    }
    std::string text;
    for (const auto &[version, count] : counts) {
        text += (text.empty() ? "" : ",") + std::to_string(version) + ":" + std::to_string(count);
    }
    return text.empty() ? "none" : text;
}

}
