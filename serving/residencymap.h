#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace vanillaspar
{
struct ResidencyReport;
}

namespace vanillaspar::serving
{

struct Backend;

/** An adapter in a replica, as this host knows it. */
struct AdapterResidency
{
    int64_t version = 0;
    Millis readyAt; ///< It can be used from then on.
};

/**
 * Which replica holds which adapter.
 *
 * News from the host that orders a replica's loads go before what service discovery tells, which lags by seconds.
 */
class ResidencyMap
{
public:
    /** Takes what service discovery tells, if nothing newer is known of this life of the replica. */
    void onDiscovered(const Backend &backend, Millis now);
    /** Takes news of the host that orders the replica's loads. @return whether they are newer than what is known. */
    bool onResidencyReport(const ResidencyReport &report, Millis now);
    /** The replica denied holding the adapter. */
    void onNotResident(const ReplicaId &replica, const std::string &weights);
    /** The replica is still busy with the adapter; it can be used a little later. */
    void setReadyAt(const ReplicaId &replica, const std::string &weights, Millis until);
    void remove(const ReplicaId &replica);

    /** @return the adapter's place in a replica, or nullptr. */
    const AdapterResidency *find(const ReplicaId &replica, const std::string &weights) const;
    /** @return replicas that hold the adapter or are about to. */
    const std::map<ReplicaId, AdapterResidency> &holders(const std::string &weights) const;

private:
    struct Replica
    {
        int64_t bornAt = 0;
        HostId reportedBy;
        uint64_t reportSequence = 0;
        Millis reportedAt {-1};
        std::vector<std::string> weights;
    };

    void replace(const ReplicaId &id, Replica &replica, const std::map<std::string, AdapterResidency> &held);

    std::map<ReplicaId, Replica> m_replicas;
    std::unordered_map<std::string, std::map<ReplicaId, AdapterResidency>> m_holders;
};

}
