#include "serving/replicas/adapterversions.h"

#include <algorithm>

namespace vanillaspar::serving
{

namespace
{

constexpr int64_t withdrawalLead = 10; // part of the limit that is left for a request's cancellation to take effect

}

void AdapterVersions::announce(const std::string &weights, int64_t version, Millis since)
{
    int64_t &newest = m_newestVersions[weights];
    if (version <= newest) {
        return;
    }
    newest = version;
    m_requiredVersions[weights].announced[version] = since;
}

int64_t AdapterVersions::newestVersion(const std::string &weights) const
{
    const auto entry = m_newestVersions.find(weights);
    return entry == m_newestVersions.end() ? 0 : entry->second;
}

Millis AdapterVersions::supersededAt(const std::string &weights, int64_t version) const
{
    const auto entry = m_requiredVersions.find(weights);
    if (entry == m_requiredVersions.end()) {
        return unknownTime;
    }
    const auto newer = entry->second.announced.upper_bound(version);
    return newer == entry->second.announced.end() ? unknownTime : newer->second;
}

Millis AdapterVersions::latestBegin(const std::string &weights, int64_t version) const
{
    return supersededAt(weights, version) + m_limit - m_limit / withdrawalLead;
}

int64_t AdapterVersions::minimumVersion(const std::string &weights, Millis now) const
{
    const auto entry = m_requiredVersions.find(weights);
    if (entry == m_requiredVersions.end()) {
        return 0;
    }
    int64_t minimum = entry->second.version;
    for (const auto &[version, announcedAt] : entry->second.announced) {
        if (now - announcedAt > m_limit / 2) {
            minimum = std::max(minimum, version);
        }
    }
    return minimum;
}

}
