#include "serving/membership/storeproofs.h"

#include "cluster/peerlink.h"
#include "serving/membership/fleetmembers.h"
#include "serving/membership/recordmirror.h"

#include <algorithm>

namespace vanillaspar::serving
{

namespace
{

constexpr Millis proofInterval(250);

/** @return the freshness of a copy; empty for one of era 0, which messages without an era state. */
EraFreshness withEra(const CopyState &copy, Millis now)
{
    if (copy.position.era == 0) {
        return {};
    }
    return {copy.position.era, {copy.position.revision, copy.freshAsOf.value < 0 ? -1 : (now - copy.freshAsOf).value}};
}

}

RecordFreshness StoreProofs::withoutEra(const CopyState &copy, Millis now)
{
    if (copy.position.era > 0) {
        return {};
    }
    return {copy.position.revision, copy.freshAsOf.value < 0 ? -1 : (now - copy.freshAsOf).value};
}

CopyStates StoreProofs::decode(const StoreProof &proof, const FleetMembers &members)
{
    const auto copyOf = [&](const EraFreshness &copy) {
        return CopyState {{copy.era, copy.copy.revision}, members.freshAsOf(proof.echoedSequence, copy.copy)};
    };
    return {copyOf(proof.configuration),
            ConfigVersion(proof.configurationVersion),
            copyOf(proof.owners),
            copyOf(proof.versions),
            {proof.backends.era, proof.backends.copy.revision}};
}

void StoreProofs::alignEras(const std::array<RecordMirror *, 4> &mirrors)
{
    int64_t newest = 0;
    for (const RecordMirror *mirror : mirrors) {
        newest = std::max(newest, mirror->position().era);
    }
    for (RecordMirror *mirror : mirrors) {
        if (mirror->isLoaded() && mirror->position().era < newest) {
            mirror->refresh();
        }
    }
}

void StoreProofs::send(const CopyStates &copies, const FleetMembers &members, PeerLink &peers, Millis now)
{
    StoreProof proof;
    proof.configuration = withEra(copies.configuration, now);
    proof.configurationVersion = copies.configurationVersion.value;
    proof.owners = withEra(copies.owners, now);
    proof.versions = withEra(copies.versions, now);
    proof.backends = withEra({copies.backends, Millis(-1)}, now);
    const int64_t newestEra
        = std::max({proof.configuration.era, proof.owners.era, proof.versions.era, proof.backends.era});
    if (newestEra == 0 || now - m_sentAt < proofInterval) {
        return;
    }
    m_sentAt = now;
    for (const HostId &host : members.heartbeatTargets(now)) {
        const FleetMember &member = members.peers().at(host);
        if (member.heartbeat.sequence > 0) {
            proof.echoedSequence = member.heartbeat.sequence;
            proof.echoedIncarnation = member.heartbeat.incarnation;
            peers.send(member.peerAddress, proof);
        }
    }
}

}
