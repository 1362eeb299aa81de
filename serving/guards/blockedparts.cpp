#include "serving/guards/blockedparts.h"

#include "core/error.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace vanillaspar::serving
{

namespace
{

constexpr const char *recordPrefix = "blocked-part.";
constexpr size_t maxParts = 64;
constexpr Millis lifetime(3600000); // the engines may have been mended by then
constexpr Millis liftedRetention(3600000); // longer than any host is cut off from the others

}

std::string BlockedParts::recordName(const PromptPartId &part)
{
    return recordPrefix + part.text();
}

bool BlockedParts::isRecord(const std::string &name)
{
    return name.rfind(recordPrefix, 0) == 0;
}

PromptPartId BlockedParts::partOf(const std::string &recordName)
{
    return PromptPartId(recordName.substr(std::string(recordPrefix).size()));
}

nlohmann::json BlockedParts::toJson(const BlockedPart &blocked)
{
    return {{"block", std::to_string(blocked.block)}, {"since", blocked.blockedAt.value}, {"crashes", blocked.crashes}};
}

BlockedPart BlockedParts::fromJson(const nlohmann::json &content)
{
    try {
        return {std::stoull(content.at("block").get<std::string>()), Millis(content.at("since").get<int64_t>()),
                content.at("crashes").get<int64_t>()};
    } catch (const std::exception &error) {
        throw DecodeError(std::string("record of a blocked part: ") + error.what());
    }
}

bool BlockedParts::add(const PromptPartId &part, const BlockedPart &blocked, Millis now)
{
    std::erase_if(m_lifted, [now](const auto &entry) {
        return now - entry.second > liftedRetention;
    });
    if (m_lifted.count(blocked.block) > 0) {
        return false;
    }
    const auto [entry, isNew] = m_parts.emplace(part, blocked);
    if (!isNew) {
        // Two hosts may have blocked the part at the same time: all hosts keep the same one of their blocks.
        entry->second = blocked.block < entry->second.block ? blocked : entry->second;
        return false;
    }
    while (m_parts.size() > maxParts) {
        m_parts.erase(std::min_element(m_parts.begin(), m_parts.end(), [](const auto &a, const auto &b) {
            return a.second.blockedAt < b.second.blockedAt;
        }));
    }
    return find(part) != nullptr;
}

bool BlockedParts::lift(const PromptPartId &part, Millis now)
{
    const auto entry = m_parts.find(part);
    if (entry == m_parts.end()) {
        return false;
    }
    m_lifted[entry->second.block] = now;
    m_parts.erase(entry);
    return true;
}

std::vector<PromptPartId> BlockedParts::expired(Millis wallNow) const
{
    std::vector<PromptPartId> parts;
    for (const auto &[part, blocked] : m_parts) {
        if (wallNow - blocked.blockedAt > lifetime) {
            parts.push_back(part);
        }
    }
    return parts;
}

const BlockedPart *BlockedParts::find(const PromptPartId &part) const
{
    const auto entry = m_parts.find(part);
    return entry == m_parts.end() ? nullptr : &entry->second;
}

}
