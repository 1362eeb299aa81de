#include "serving/replicas/expiredentries.h"

namespace vanillaspar::serving
{

void ExpiredEntries::add(const ReplicaId &replica, Millis until)
{
    m_until.emplace(replica, until);
}

void ExpiredEntries::remove(const ReplicaId &replica)
{
    m_until.erase(replica);
}

std::vector<ReplicaId> ExpiredEntries::takeDue(Millis now)
{
    std::vector<ReplicaId> due;
    for (auto entry = m_until.begin(); entry != m_until.end();) {
        if (now >= entry->second) {
            due.push_back(entry->first);
            entry = m_until.erase(entry);
        } else {
            ++entry;
        }
    }
    return due;
}

}
