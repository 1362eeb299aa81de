#include "core/recentnames.h"

#include <algorithm>

namespace vanillaspar
{

void RecentNames::add(const std::string &name)
{
    m_names.erase(std::remove(m_names.begin(), m_names.end(), name), m_names.end());
    m_names.push_back(name);
    if (m_names.size() > m_capacity) {
        m_names.pop_front();
    }
}

bool RecentNames::contains(const std::string &name) const
{
    return std::find(m_names.begin(), m_names.end(), name) != m_names.end();
}

}
