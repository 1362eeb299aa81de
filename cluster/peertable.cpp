#include "cluster/peertable.h"

#include "cluster/peerlink.h"
#include "core/clock.h"
#include "core/hash.h"
#include "core/random.h"
#include "node/nodesettings.h"

#include <algorithm>

namespace vanillaspar
{

namespace
{

constexpr size_t fullMeshLimit = 8; // largest number of members with which every host pings every other one
constexpr size_t ringSuccessors = 2;
constexpr size_t randomPeers = 1;
constexpr Millis pongTimeout(5000); // a later answer is ignored

}

PeerTable::PeerTable(const NodeSettings &settings, const Clock &clock, PeerLink &link, Random &random,
                     PingFactory makePing)
    : m_settings(settings), m_clock(clock), m_link(link), m_random(random), m_makePing(std::move(makePing))
{
}

void PeerTable::tick(const ClusterState &state)
{
    if (m_clock.now() < m_nextRoundAt) {
        return;
    }
    const bool isLarge = state.members.size() > fullMeshLimit;
    m_nextRoundAt = m_clock.now() + m_settings.heartbeatInterval * (isLarge ? 2 : 1);
    m_sentAt.erase(m_sentAt.begin(), std::find_if(m_sentAt.begin(), m_sentAt.end(), [this](const auto &sent) {
                       return sent.second + pongTimeout > m_clock.now();
                   }));
    for (const HostId &host : chooseTargets(state)) {
        probe(host, state.members.at(host));
    }
    if (!state.isActive(m_settings.host)) {
        probeSeeds();
    }
}

void PeerTable::setExtraTargets(const std::set<HostId> &hosts)
{
    m_extraTargets = hosts;
}

std::vector<HostId> PeerTable::chooseTargets(const ClusterState &state)
{
    std::vector<std::pair<uint64_t, HostId>> ring;
    const uint64_t own = stableHash(m_settings.host.text());
    for (const auto &[host, member] : state.members) {
        if (host != m_settings.host) {
            ring.emplace_back(stableHash(host.text()) - own, host); // clockwise distance on the ring, modulo 2^64
        }
    }
    std::vector<HostId> targets;
    if (ring.size() < fullMeshLimit) {
        for (const auto &[distance, host] : ring) {
            targets.push_back(host);
        }
        markProbedRegularly(targets);
        return targets;
    }
    std::partial_sort(ring.begin(), ring.begin() + ringSuccessors, ring.end());
    for (size_t i = 0; i < ringSuccessors; ++i) {
        targets.push_back(ring[i].second);
    }
    for (const HostId &host : m_extraTargets) {
        const bool isNew = std::find(targets.begin(), targets.end(), host) == targets.end();
        if (isNew && host != m_settings.host && state.members.count(host) > 0) {
            targets.push_back(host);
        }
    }
    markProbedRegularly(targets);
    for (size_t i = 0; i < randomPeers; ++i) {
        targets.push_back(ring[ringSuccessors + m_random.below(ring.size() - ringSuccessors)].second);
    }
    return targets;
}

void PeerTable::markProbedRegularly(const std::vector<HostId> &hosts)
{
    for (const HostId &host : hosts) {
        m_regularlyProbedUntil[host] = m_clock.now() + m_settings.heartbeatInterval * 4;
    }
}

void PeerTable::probe(const HostId &host, const Member &member)
{
    Peer &peer = m_peers[host];
    if (peer.incarnation != member.incarnation) {
        peer = Peer {member.incarnation, m_clock.now(), Millis(-1), false, ConfigVersion(0)};
    }
    Ping ping = m_makePing();
    ping.sequence = m_nextSequence++;
    m_sentAt[ping.sequence] = m_clock.now();
    m_link.send(member.peerAddress, ping);
}

void PeerTable::probeSeeds()
{
    for (const std::string &seed : m_settings.seeds) {
        if (seed != m_settings.peerAddress) {
            Ping ping = m_makePing();
            ping.sequence = m_nextSequence++;
            m_sentAt[ping.sequence] = m_clock.now();
            m_link.send(seed, ping);
        }
    }
}

Millis PeerTable::onPong(const HostId &from, const Pong &pong)
{
    const auto sent = m_sentAt.find(pong.sequence);
    if (sent == m_sentAt.end()) {
        return Millis(-1);
    }
    const Millis sentAt = sent->second;
    m_sentAt.erase(sent);
    Peer &peer = m_peers[from];
    if (peer.incarnation != pong.incarnation) {
        if (sentAt < peer.firstProbedAt) {
            return sentAt; // a late answer of an earlier incarnation
        }
        // Another incarnation answers for the host, so the previous one has ended.
        peer = Peer {pong.incarnation, sentAt, sentAt, false, pong.configVersion};
        return sentAt;
    }
    peer.heardAt = std::max(peer.heardAt, sentAt);
    peer.isConnectionRefused = false;
    peer.configVersion = std::max(peer.configVersion, pong.configVersion);
    return sentAt;
}

void PeerTable::onConnectionRefused(const std::string &address, Millis startedAt, const ClusterState &state)
{
    for (const auto &[host, member] : state.members) {
        const auto peer = m_peers.find(host);
        if (member.peerAddress == address && peer != m_peers.end() && peer->second.incarnation == member.incarnation
            && startedAt >= peer->second.firstProbedAt) {
            peer->second.isConnectionRefused = true;
        }
    }
}

bool PeerTable::isProbedRegularly(const HostId &host) const
{
    const auto until = m_regularlyProbedUntil.find(host);
    return until != m_regularlyProbedUntil.end() && until->second > m_clock.now();
}

Millis PeerTable::lastHeardAt(const HostId &host, const Incarnation &incarnation) const
{
    const auto peer = m_peers.find(host);
    if (peer == m_peers.end() || peer->second.incarnation != incarnation) {
        return m_clock.now();
    }
    return std::max(peer->second.heardAt, peer->second.firstProbedAt);
}

bool PeerTable::isConfirmedDead(const HostId &host, const Incarnation &incarnation) const
{
    const auto peer = m_peers.find(host);
    if (peer == m_peers.end()) {
        return false;
    }
    if (peer->second.incarnation != incarnation) {
        return peer->second.heardAt.value >= 0;
    }
    return peer->second.isConnectionRefused;
}

bool PeerTable::isConfirmedByAllPeers(const ClusterState &state, ConfigVersion version, Millis window) const
{
    return std::all_of(state.members.begin(), state.members.end(), [&](const auto &entry) {
        const auto &[host, member] = entry;
        if (host == m_settings.host || isConfirmedDead(host, member.incarnation)) {
            return true;
        }
        const auto peer = m_peers.find(host);
        const bool isHeard
            = peer != m_peers.end() && peer->second.heardAt.value >= 0 && peer->second.heardAt + window > m_clock.now();
        return isHeard && peer->second.configVersion <= version;
    });
}

std::vector<HostId> PeerTable::peersHeardWithin(Millis window) const
{
    std::vector<HostId> heard;
    for (const auto &[host, peer] : m_peers) {
        if (peer.heardAt.value >= 0 && peer.heardAt + window > m_clock.now()) {
            heard.push_back(host);
        }
    }
    return heard;
}

}
