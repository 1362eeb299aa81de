#include "serving/fleetmembers.h"

#include "core/error.h"
#include "serving/servingsettings.h"
#include "serving/statestore.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace vanillaspar::serving
{

namespace
{

constexpr const char *recordPrefix = "host.";
// Beats come ten times a second; a few lost ones or a busy moment don't make a host silent.
constexpr Millis liveLimit(700);
// Longer than a restart, so that a host which comes back keeps what it held.
constexpr Millis lostLimit(5000);
constexpr size_t roundsRemembered = 100;

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
    if (record.isDeleted) {
        m_peers.erase(host);
        return;
    }
    try {
        const bool isNew = m_peers.count(host) == 0;
        FleetMember &member = m_peers[host];
        member.host = host;
        if (isNew) {
            member.knownSince = now;
        }
        member.domain = DomainId(record.content.at("domain").get<std::string>());
        member.peerAddress = record.content.at("peer").get<std::string>();
        member.callerAddress = record.content.at("caller").get<std::string>();
    } catch (const nlohmann::json::exception &error) {
        m_peers.erase(host);
        throw DecodeError("host record " + record.name + ": " + error.what());
    }
}

uint64_t FleetMembers::beginRound(Millis now)
{
    ++m_round;
    m_roundSentAt[m_round] = now;
    if (m_roundSentAt.size() > roundsRemembered) {
        m_roundSentAt.erase(m_roundSentAt.begin());
    }
    return m_round;
}

bool FleetMembers::onBeat(const HostId &from, const HostBeat &beat, Millis now)
{
    const auto entry = m_peers.find(from);
    if (entry == m_peers.end()) {
        return false;
    }
    FleetMember &member = entry->second;
    const bool isSameLife = member.beat.incarnation == beat.incarnation;
    if (isSameLife && beat.sequence <= member.beat.sequence) {
        return false;
    }
    member.beat = beat;
    member.heardAt = now;
    return true;
}

Millis FleetMembers::proofTime(const HostBeat &beat, const RecordProof &proof) const
{
    const auto round = m_roundSentAt.find(beat.echoed);
    if (proof.age < 0 || round == m_roundSentAt.end()) {
        return Millis(-1);
    }
    return round->second - Millis(proof.age);
}

bool FleetMembers::isLive(const HostId &host, Millis now) const
{
    const auto entry = m_peers.find(host);
    return entry != m_peers.end() && entry->second.heardAt.value >= 0 && now - entry->second.heardAt < liveLimit;
}

bool FleetMembers::isLost(const HostId &host, Millis now) const
{
    if (host == m_settings.host) {
        return false;
    }
    const auto entry = m_peers.find(host);
    return entry == m_peers.end() || now - entry->second.lastSign() > lostLimit;
}

std::vector<std::string> FleetMembers::callerAddresses(bool isReady, Millis now) const
{
    std::vector<std::string> addresses;
    for (const auto &[host, member] : m_peers) {
        if (isLive(host, now) && member.beat.isReady && !member.beat.isStopping) {
            addresses.push_back(member.callerAddress);
        }
    }
    if (isReady) {
        addresses.push_back(m_settings.callerAddress);
    }
    return addresses;
}

bool FleetMembers::isFirst(Millis now) const
{
    return std::none_of(m_peers.begin(), m_peers.end(), [&](const auto &entry) {
        return entry.first < m_settings.host && isLive(entry.first, now) && entry.second.beat.reachesStore
            && !entry.second.beat.isStopping;
    });
}

}
