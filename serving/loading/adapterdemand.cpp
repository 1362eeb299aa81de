#include "serving/loading/adapterdemand.h"

#include "cluster/messages/fleet.h"
#include "serving/replicas/adapterversions.h"

#include <algorithm>

namespace vanillaspar::serving
{

void AdapterDemand::onNeeded(const ReplicaId &replica, const std::string &weights, bool canBeInTime)
{
    m_needed[{replica, weights}] += canBeInTime ? 1 : 0;
}

void AdapterDemand::onMissing(const ReplicaId &replica, const std::string &weights)
{
    m_missing.insert({replica, weights});
}

std::vector<AdapterRequest> AdapterDemand::takeRequests(const AdapterVersions &versions, Millis now)
{
    std::vector<AdapterRequest> requests;
    for (const auto &[target, waiting] : m_needed) {
        requests.push_back({target.first, target.second, versions.minimumVersion(target.second, now),
                            static_cast<uint16_t>(std::min<int64_t>(waiting, UINT16_MAX)),
                            m_missing.count(target) > 0});
    }
    m_needed.clear();
    m_missing.clear();
    return requests;
}

}
