#include "serving/membership/fleetmembers.h"

#include "core/error.h"
#include "core/hash.h"
#include "serving/interfaces/servingsettings.h"
#include "serving/interfaces/statestore.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <tuple>

namespace vanillaspar::serving
{

namespace
{

constexpr const char *recordPrefix = "host.";
// Hubs send ten heartbeats a second, leaf hosts five: a few lost or delayed ones don't make a host unreachable.
constexpr Millis liveTimeout(700);
// Longer than a restart, so that a restarted host keeps the replicas that it owned.
constexpr Millis lostTimeout(5000);
constexpr size_t roundsKept = 100;
// If one hub fails, the domain's leaf hosts still get reports from the other.
constexpr size_t hubsPerDomain = 2;
// Heartbeats go to up to this many hosts of a domain until two of them respond: both hubs may have failed, and the
// next candidates may not know yet that they are hubs.
constexpr size_t maxHubCandidates = 5;
constexpr size_t maxCallerAddresses = 64; // the platform's protocol allows callers no more

/** @return whether @p at, which is negative for never, is within the live timeout before @p now. */
bool isRecent(Millis at, Millis now)
{
    return at.value >= 0 && now - at < liveTimeout;
}

}

FleetMembers::FleetMembers(const ServingSettings &settings, Incarnation incarnation)
    : m_settings(settings), m_incarnation(std::move(incarnation))
{
}

std::string FleetMembers::recordName(const HostId &host)
{
    return recordPrefix + host.text();
}

bool FleetMembers::isHostRecord(const std::string &name)
{
    return name.rfind(recordPrefix, 0) == 0;
}

void FleetMembers::onRecord(const StoredRecord &record, Millis now)
{
    const HostId host(record.name.substr(std::string(recordPrefix).size()));
    if (host == m_settings.host) {
        return;
    }
    m_byShortId[shortHash(host.text())] = host;
    if (record.isDeleted) {
        const auto known = m_peers.find(host);
        if (record.isRestored && known != m_peers.end() && !isLost(host, now)) {
            known->second.isRecordLost = true;
            return;
        }
        m_peers.erase(host);
        return;
    }
    try {
        const bool isNew = m_peers.count(host) == 0;
        FleetMember &member = m_peers[host];
        if (isNew) {
            member.knownSince = now;
        }
        member.isRecordLost = false;
        member.domain = DomainId(record.content.at("domain").get<std::string>());
        member.peerAddress = record.content.at("peer").get<std::string>();
        member.callerAddress = record.content.at("caller").get<std::string>();
        member.capacity = record.content.value("capacity", 1.0);
        member.isRelay = record.content.value("relay", false);
    } catch (const nlohmann::json::exception &error) {
        m_peers.erase(host);
        throw DecodeError("host record " + record.name + ": " + error.what());
    }
}

uint64_t FleetMembers::beginRound(bool isStopping, Millis now)
{
    removeUnrecorded(now);
    selectHubs(isStopping, now);
    ++m_round;
    m_roundSentAt[m_round] = now;
    if (m_roundSentAt.size() > roundsKept) {
        m_roundSentAt.erase(m_roundSentAt.begin());
    }
    return m_round;
}

void FleetMembers::removeUnrecorded(Millis now)
{
    std::erase_if(m_peers, [&](const auto &entry) {
        return entry.second.isRecordLost && now - entry.second.lastContact() > lostTimeout;
    });
}

void FleetMembers::selectHubs(bool isStopping, Millis now)
{
    std::map<DomainId, std::set<Rank>> ranks;
    if (!isStopping) {
        ranks[m_settings.domain].insert({m_settings.capacity, m_settings.host});
    }
    for (const auto &[host, member] : m_peers) {
        if (!member.status.isStopping && !isLost(host, now)) {
            ranks[member.domain].insert({member.capacity, host});
        }
    }
    m_hubs.clear();
    m_primaryHubs.clear();
    m_hubCandidates.clear();
    for (const auto &[domain, hosts] : ranks) {
        size_t hubs = 0;
        std::vector<HostId> &candidates = m_hubCandidates[domain];
        for (const Rank &rank : hosts) {
            const bool isAvailable = rank.host == m_settings.host || isLive(rank.host, now);
            if (candidates.size() < maxHubCandidates || isAvailable) {
                candidates.push_back(rank.host);
            }
            if (isAvailable) {
                m_hubs.insert(rank.host);
                m_primaryHubs.emplace(domain, rank.host);
                if (++hubs == hubsPerDomain) {
                    break;
                }
            }
        }
    }
}

HostId FleetMembers::hubOf(const HostId &host) const
{
    if (isHub(host)) {
        return host;
    }
    const auto member = m_peers.find(host);
    const DomainId &domain = member == m_peers.end() ? m_settings.domain : member->second.domain;
    const auto first = m_primaryHubs.find(domain);
    if (first != m_primaryHubs.end()) {
        return first->second;
    }
    return m_hubs.empty() ? HostId() : *m_hubs.begin();
}

std::set<HostId> FleetMembers::leafHosts(Millis now) const
{
    std::set<HostId> hosts;
    for (const auto &[host, member] : m_peers) {
        if (!isHub(host) && isHeardDirectly(host, now) && hubOf(host) == m_settings.host) {
            hosts.insert(host);
        }
    }
    return hosts;
}

std::set<HostId> FleetMembers::heartbeatTargets(Millis now) const
{
    std::set<HostId> targets;
    const bool isOwnHub = isHub(m_settings.host);
    const bool hasHub = m_primaryHubs.count(m_settings.domain) > 0;
    for (const auto &[domain, hosts] : m_hubCandidates) {
        if (isOwnHub || !hasHub || domain == m_settings.domain) {
            targets.insert(hosts.begin(), hosts.end());
        }
    }
    if (isOwnHub) {
        for (const auto &[host, member] : m_peers) {
            if (isHeardDirectly(host, now)) {
                targets.insert(host);
            }
        }
    }
    targets.erase(m_settings.host);
    return targets;
}

std::vector<std::string> FleetMembers::heartbeatAddresses(Millis now) const
{
    std::vector<std::string> addresses;
    for (const HostId &host : heartbeatTargets(now)) {
        addresses.push_back(m_peers.at(host).peerAddress);
    }
    return addresses;
}

bool FleetMembers::onHeartbeat(const HostId &from, const HostHeartbeat &heartbeat, Millis now)
{
    const auto entry = m_peers.find(from);
    if (entry == m_peers.end()) {
        return false;
    }
    FleetMember &member = entry->second;
    const bool isSameIncarnation = member.heartbeat.incarnation == heartbeat.incarnation;
    if (isSameIncarnation && heartbeat.sequence <= member.heartbeat.sequence) {
        return false;
    }
    member.heartbeat = heartbeat;
    member.heardDirectlyAt = now;
    member.status = {shortHash(from.text()), heartbeat.isReady, heartbeat.isStopping, heartbeat.reachesStore};
    for (const HostStatus &relayed : heartbeat.relayedHosts) {
        const auto name = m_byShortId.find(relayed.host);
        const auto other = name == m_byShortId.end() ? m_peers.end() : m_peers.find(name->second);
        if (other != m_peers.end()) {
            other->second.relayedAt = now;
            if (!isHeardDirectly(other->first, now)) {
                other->second.status = relayed;
            }
        }
    }
    return true;
}

Millis FleetMembers::freshAsOf(uint64_t echoedSequence, const RecordFreshness &freshness) const
{
    const auto round = m_roundSentAt.find(echoedSequence);
    if (freshness.age < 0 || round == m_roundSentAt.end()) {
        return Millis(-1);
    }
    return round->second - Millis(freshness.age);
}

bool FleetMembers::isLive(const HostId &host, Millis now) const
{
    const auto entry = m_peers.find(host);
    return entry != m_peers.end() && isRecent(std::max(entry->second.heardDirectlyAt, entry->second.relayedAt), now);
}

bool FleetMembers::isHeardDirectly(const HostId &host, Millis now) const
{
    const auto entry = m_peers.find(host);
    return entry != m_peers.end() && isRecent(entry->second.heardDirectlyAt, now);
}

bool FleetMembers::isSelected(const std::string &key, Millis now) const
{
    const auto rankOf = [&key](const HostId &host) {
        return stableHash(key + "/" + host.text());
    };
    const uint64_t own = rankOf(m_settings.host);
    return std::none_of(m_peers.begin(), m_peers.end(), [&](const auto &entry) {
        const FleetMember &member = entry.second;
        return isLive(entry.first, now) && member.status.isReady && !member.status.isStopping
            && rankOf(entry.first) < own;
    });
}

bool FleetMembers::isLost(const HostId &host, Millis now) const
{
    if (host == m_settings.host) {
        return false;
    }
    const auto entry = m_peers.find(host);
    return entry == m_peers.end() || now - entry->second.lastContact() > lostTimeout;
}

std::vector<std::string> FleetMembers::callerAddresses(const DomainId &domain, bool isReady, Millis now) const
{
    // All hosts must leave out the same hosts in every answer, or callers would move their connections.
    std::map<std::tuple<bool, double, uint64_t>, std::string> ranked;
    const auto add = [&](const HostId &host, const DomainId &home, double capacity, const std::string &address) {
        ranked.emplace(std::make_tuple(home != domain, -capacity, stableHash(host.text() + domain.text())), address);
    };
    for (const auto &[host, member] : m_peers) {
        if (isLive(host, now) && member.status.isReady && !member.status.isStopping) {
            add(host, member.domain, member.capacity, member.callerAddress);
        }
    }
    if (isReady) {
        add(m_settings.host, m_settings.domain, m_settings.capacity, m_settings.callerAddress);
    }
    std::vector<std::string> addresses;
    for (const auto &[rank, address] : ranked) {
        if (addresses.size() < maxCallerAddresses) {
            addresses.push_back(address);
        }
    }
    return addresses;
}

HostId FleetMembers::leader(Millis now) const
{
    for (const HostId &hub : m_hubs) {
        if (hub == m_settings.host || (isLive(hub, now) && m_peers.at(hub).status.reachesStore)) {
            return hub;
        }
    }
    return {};
}

std::vector<HostId> FleetMembers::largestOfDomain() const
{
    std::set<Rank> ranks {{m_settings.capacity, m_settings.host}};
    for (const auto &[host, member] : m_peers) {
        if (member.domain == m_settings.domain) {
            ranks.insert({member.capacity, host});
        }
    }
    std::vector<HostId> hosts;
    for (const Rank &rank : ranks) {
        if (hosts.size() < hubsPerDomain) {
            hosts.push_back(rank.host);
        }
    }
    return hosts;
}

bool FleetMembers::isLeader(Millis now) const
{
    if (!isHub(m_settings.host)) {
        return false;
    }
    return std::none_of(m_hubs.begin(), m_hubs.end(), [&](const HostId &hub) {
        return hub < m_settings.host && isLive(hub, now) && m_peers.at(hub).status.reachesStore;
    });
}

}
