#include "serving/adapterversions.h"

#include <algorithm>

namespace vanillaspar::serving
{

void AdapterVersions::announce(const std::string &weights, int64_t version, Millis now)
{
    int64_t &newest = m_newest[weights];
    if (version <= newest) {
        return;
    }
    newest = version;
    m_required[weights].announced[version] = now;
}

int64_t AdapterVersions::newestVersion(const std::string &weights) const
{
    const auto entry = m_newest.find(weights);
    return entry == m_newest.end() ? 0 : entry->second;
}

int64_t AdapterVersions::minimumVersion(const std::string &weights, Millis now) const
{
    const auto entry = m_required.find(weights);
    if (entry == m_required.end()) {
        return 0;
    }
    int64_t required = entry->second.version;
    for (const auto &[version, at] : entry->second.announced) {
        if (now - at > m_grace) {
            required = std::max(required, version);
        }
    }
    return required;
}

}
