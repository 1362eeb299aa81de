#include "serving/loading/ownertable.h"

#include "core/error.h"
#include "serving/interfaces/storeposition.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace vanillaspar::serving
{

namespace
{

// More revisions than a restore can lose, so that every fencing number of an era is higher than all of the eras before.
// The numbers of two million eras are integers that JSON decoders with double precision keep.
constexpr int64_t revisionsPerEra = int64_t(1) << 32;

}

OwnerTable OwnerTable::fromJson(const nlohmann::json &content)
{
    try {
        OwnerTable table;
        table.m_lastFencingNumber = Epoch(content.at("fence").get<int64_t>());
        table.m_era = content.value("era", int64_t(0));
        for (const auto &item : content.at("replicas").items()) {
            const nlohmann::json &value = item.value();
            const auto fence = value.at("fence").get<int64_t>();
            table.m_entries[ReplicaId(item.key())]
                = {HostId(value.at("host").get<std::string>()), Epoch(fence), Epoch(value.value("assigned", fence)),
                   value.at("takeover").get<bool>()};
        }
        return table;
    } catch (const nlohmann::json::exception &error) {
        throw DecodeError(std::string("owner table: ") + error.what());
    }
}

nlohmann::json OwnerTable::toJson() const
{
    nlohmann::json replicas = nlohmann::json::object();
    for (const auto &[id, entry] : m_entries) {
        nlohmann::json &value = replicas[id.text()];
        value = {{"host", entry.host.text()}, {"fence", entry.fencingNumber.value}, {"takeover", entry.isTakeover}};
        if (entry.assignedAs != entry.fencingNumber) {
            value["assigned"] = entry.assignedAs.value;
        }
    }
    nlohmann::json content {{"fence", m_lastFencingNumber.value}, {"replicas", std::move(replicas)}};
    if (m_era > 0) {
        content["era"] = m_era;
    }
    return content;
}

const OwnerEntry *OwnerTable::find(const ReplicaId &replica) const
{
    const auto entry = m_entries.find(replica);
    return entry == m_entries.end() ? nullptr : &entry->second;
}

Epoch OwnerTable::nextFencingNumber(StorePosition newest) const
{
    return std::max(Epoch(newest.era * revisionsPerEra + newest.revision), m_lastFencingNumber + Epoch(1));
}

bool OwnerTable::confirm(int64_t era, Epoch number)
{
    if (era <= m_era) {
        return false;
    }
    m_era = era;
    m_lastFencingNumber = number;
    for (auto &[replica, entry] : m_entries) {
        entry.fencingNumber = number;
        entry.isTakeover = true;
    }
    return !m_entries.empty();
}

void OwnerTable::remove(const std::set<ReplicaId> &replicas)
{
    for (const ReplicaId &replica : replicas) {
        m_entries.erase(replica);
    }
}

bool OwnerTable::assign(Epoch number, const std::vector<DomainMember> &replicas,
                        const std::vector<DomainMember> &liveHosts, const std::vector<HostId> &lostHosts,
                        bool isEachTakeover)
{
    if (liveHosts.empty()) {
        return false;
    }
    std::map<std::string, int64_t> counts;
    for (const DomainMember &host : liveHosts) {
        counts[host.id] = 0;
    }
    std::vector<const DomainMember *> unowned;
    for (const DomainMember &replica : replicas) {
        const OwnerEntry *entry = find(ReplicaId(replica.id));
        const bool needsOwner
            = entry == nullptr || std::find(lostHosts.begin(), lostHosts.end(), entry->host) != lostHosts.end();
        if (needsOwner) {
            unowned.push_back(&replica);
        } else if (counts.count(entry->host.text()) > 0) {
            ++counts[entry->host.text()];
        }
    }
    if (unowned.empty()) {
        return false;
    }
    m_lastFencingNumber = number;
    for (const DomainMember *replica : unowned) {
        const DomainMember &chosen
            = *std::min_element(liveHosts.begin(), liveHosts.end(), [&](const DomainMember &a, const DomainMember &b) {
                  const auto rank = [&](const DomainMember &host) {
                      return std::make_pair(counts[host.id], host.domain == replica->domain ? 0 : 1);
                  };
                  return rank(a) < rank(b);
              });
        ++counts[chosen.id];
        OwnerEntry &entry = m_entries[ReplicaId(replica->id)];
        const bool hadOwner = !entry.host.isEmpty();
        const bool isTakeover = isEachTakeover || (hadOwner && entry.host != HostId(chosen.id));
        entry = {HostId(chosen.id), number, number, isTakeover};
    }
    return true;
}

}
