#include "serving/ownertable.h"

#include "core/error.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace vanillaspar::serving
{

OwnerTable OwnerTable::fromJson(const nlohmann::json &content)
{
    try {
        OwnerTable table;
        table.m_fence = content.at("fence").get<int64_t>();
        for (const auto &item : content.at("replicas").items()) {
            const nlohmann::json &value = item.value();
            table.m_entries[ReplicaId(item.key())]
                = {HostId(value.at("host").get<std::string>()), value.at("fence").get<int64_t>(),
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
        replicas[id.text()] = {{"host", entry.host.text()}, {"fence", entry.fence}, {"takeover", entry.isTakeover}};
    }
    return {{"fence", m_fence}, {"replicas", std::move(replicas)}};
}

const OwnerEntry *OwnerTable::find(const ReplicaId &replica) const
{
    const auto entry = m_entries.find(replica);
    return entry == m_entries.end() ? nullptr : &entry->second;
}

bool OwnerTable::assign(const std::vector<Placeable> &replicas, const std::vector<Placeable> &live,
                        const std::vector<HostId> &lost)
{
    if (live.empty()) {
        return false;
    }
    std::map<std::string, int64_t> counts;
    for (const Placeable &host : live) {
        counts[host.id] = 0;
    }
    std::vector<const Placeable *> homeless;
    for (const Placeable &replica : replicas) {
        const OwnerEntry *entry = find(ReplicaId(replica.id));
        const bool isLost = entry == nullptr || std::find(lost.begin(), lost.end(), entry->host) != lost.end();
        if (isLost) {
            homeless.push_back(&replica);
        } else if (counts.count(entry->host.text()) > 0) {
            ++counts[entry->host.text()];
        }
    }
    if (homeless.empty()) {
        return false;
    }
    for (auto entry = m_entries.begin(); entry != m_entries.end();) {
        const bool isKnown = std::any_of(replicas.begin(), replicas.end(), [&](const Placeable &replica) {
            return replica.id == entry->first.text();
        });
        entry = isKnown ? std::next(entry) : m_entries.erase(entry);
    }
    ++m_fence;
    for (const Placeable *replica : homeless) {
        const Placeable &chosen
            = *std::min_element(live.begin(), live.end(), [&](const Placeable &a, const Placeable &b) {
                  const auto rank = [&](const Placeable &host) {
                      return std::make_pair(counts[host.id], host.domain == replica->domain ? 0 : 1);
                  };
                  return rank(a) < rank(b);
              });
        ++counts[chosen.id];
        OwnerEntry &entry = m_entries[ReplicaId(replica->id)];
        const bool hadOwner = !entry.host.isEmpty();
        entry = {HostId(chosen.id), m_fence, hadOwner && entry.host != HostId(chosen.id)};
    }
    return true;
}

}
