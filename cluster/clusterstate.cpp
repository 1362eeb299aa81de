#include "cluster/clusterstate.h"

#include "core/error.h"
#include "core/hash.h"

#include <nlohmann/json.hpp>

namespace vanillaspar
{

namespace
{

using Json = nlohmann::json;

Json memberToJson(const Member &member)
{
    return {{"incarnation", member.incarnation.text()},
            {"peer", member.peerAddress},
            {"caller", member.callerAddress},
            {"domain", member.domain.text()},
            {"shares", member.shares},
            {"leaving", member.isLeaving},
            {"fenced", member.isFenced}};
}

Member memberFromJson(const Json &json)
{
    Member member;
    member.incarnation = Incarnation(json.at("incarnation").get<std::string>());
    member.peerAddress = json.at("peer").get<std::string>();
    member.callerAddress = json.at("caller").get<std::string>();
    member.domain = DomainId(json.at("domain").get<std::string>());
    member.shares = json.at("shares").get<int64_t>();
    member.isLeaving = json.at("leaving").get<bool>();
    member.isFenced = json.at("fenced").get<bool>();
    return member;
}

Json ownershipToJson(const Ownership &ownership)
{
    Json json {{"host", ownership.host.text()},
               {"incarnation", ownership.incarnation.text()},
               {"epoch", ownership.epoch.value}};
    for (const PossiblyLiveOwner &old : ownership.possiblyLiveOwners) {
        json["unproven"].push_back({old.host.text(), old.incarnation.text()});
    }
    return json;
}

Ownership ownershipFromJson(const Json &json)
{
    Ownership ownership;
    ownership.host = HostId(json.at("host").get<std::string>());
    ownership.incarnation = Incarnation(json.at("incarnation").get<std::string>());
    ownership.epoch = Epoch(json.at("epoch").get<int64_t>());
    const Json unproven = json.value("unproven", Json::array());
    for (const Json &old : unproven) {
        ownership.possiblyLiveOwners.push_back(
            {HostId(old.at(0).get<std::string>()), Incarnation(old.at(1).get<std::string>())});
    }
    return ownership;
}

}

const Member *ClusterState::findMember(const HostId &host) const
{
    const auto found = members.find(host);
    return found == members.end() ? nullptr : &found->second;
}

int64_t ClusterState::unassignedShares() const
{
    int64_t held = 0;
    for (const auto &[host, member] : members) {
        held += member.shares;
    }
    return totalShares - held;
}

bool ClusterState::isActive(const HostId &host) const
{
    const Member *member = findMember(host);
    return member != nullptr && !member->isLeaving && !member->isFenced;
}

void ClusterState::assign(const ReplicaId &replica, const HostId &host)
{
    lastEpoch += Epoch(1);
    Ownership &ownership = owners[replica];
    ownership.host = host;
    ownership.incarnation = members.at(host).incarnation;
    ownership.epoch = lastEpoch;
}

void ClusterState::distributeUnassignedShares()
{
    for (int64_t left = unassignedShares(); left > 0; --left) {
        Member *smallest = nullptr;
        for (auto &[host, member] : members) {
            if (isActive(host) && (smallest == nullptr || member.shares < smallest->shares)) {
                smallest = &member;
            }
        }
        if (smallest == nullptr) {
            return;
        }
        ++smallest->shares;
    }
}

std::string ClusterState::toText() const
{
    Json json {{"epoch", lastEpoch.value}, {"members", Json::object()}, {"owners", Json::object()}};
    for (const auto &[host, member] : members) {
        json["members"][host.text()] = memberToJson(member);
    }
    for (const auto &[replica, ownership] : owners) {
        json["owners"][replica.text()] = ownershipToJson(ownership);
    }
    return json.dump();
}

ClusterState ClusterState::fromText(const std::string &text, ObjectVersion version)
{
    try {
        const Json json = Json::parse(text);
        ClusterState state;
        state.version = version;
        state.lastEpoch = Epoch(json.at("epoch").get<int64_t>());
        for (const auto &item : json.at("members").items()) {
            state.members[HostId(item.key())] = memberFromJson(item.value());
        }
        for (const auto &item : json.at("owners").items()) {
            state.owners[ReplicaId(item.key())] = ownershipFromJson(item.value());
        }
        return state;
    } catch (const Json::exception &error) {
        throw DecodeError(std::string("cluster object is malformed: ") + error.what());
    }
}

HostId desiredOwner(const ClusterState &state, const ReplicaId &replica, const DomainId &domain)
{
    HostId best;
    uint64_t bestRank = 0;
    bool isBestSameDomain = false;
    for (const auto &[host, member] : state.members) {
        if (!state.isActive(host)) {
            continue;
        }
        const bool isSameDomain = member.domain == domain;
        const uint64_t rank = stableHash(host.text() + "/" + replica.text());
        if (best.isEmpty() || isSameDomain > isBestSameDomain
            || (isSameDomain == isBestSameDomain && rank > bestRank)) {
            best = host;
            bestRank = rank;
            isBestSameDomain = isSameDomain;
        }
    }
    return best;
}

}
