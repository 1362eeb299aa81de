#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace vanillaspar
{
struct AdapterRequest;
}

namespace vanillaspar::serving
{

class AdapterVersions;

/** Collects which adapters this host's waiting requests need, to be requested from the replicas' owners. */
class AdapterDemand
{
public:
    /**
     * A request needs an adapter.
     *
     * @param replica where the adapter should be loaded.
     * @param weights "model/adapter".
     * @param canBeInTime whether the request can still be answered in time if the adapter is loaded now. One that can't
     *     be needs the load too, but doesn't delay the loads of others.
     */
    void onNeeded(const ReplicaId &replica, const std::string &weights, bool canBeInTime);
    /** A replica answered that an adapter isn't resident. */
    void onMissing(const ReplicaId &replica, const std::string &weights);
    /** @return requests for the adapters needed since the last call, one per replica and adapter. */
    std::vector<AdapterRequest> takeRequests(const AdapterVersions &versions, Millis now);

private:
    using LoadTarget = std::pair<ReplicaId, std::string>; ///< A replica and the adapter to load there.

    std::map<LoadTarget, int64_t> m_needed; ///< Number of requests that can still be answered in time.
    std::set<LoadTarget> m_missing;
};

}
