#pragma once

#include "core/units.h"
#include "node/replicaview.h"

#include <map>
#include <memory>
#include <set>

namespace vanillaspar
{

class ActiveConfig;
class Clock;
class ClusterStore;
class PeerTable;
struct NodeSettings;
struct ReplicaLoad;

/** What this node knows of all replicas: owners, load, failures and which are leaving. */
class FleetView : public ReplicaView
{
public:
    FleetView(const NodeSettings &settings, const Clock &clock, const ClusterStore &store, const PeerTable &peers,
              const std::shared_ptr<const ActiveConfig> &config);

    std::vector<Candidate> candidates(const PoolId &pool) const override;
    OwnerRef ownerOf(const ReplicaId &replica) const override;
    std::string callerAddressOf(const ReplicaId &replica) const override;
    std::vector<std::string> callerAddresses() const override;
    bool isLost(const OwnerRef &owner) const override;
    void noteDispatch(const ReplicaId &replica, int change) override;
    void noteFailure(const ReplicaId &replica) override;

    /** Takes what an owner tells about a replica. */
    void report(const ReplicaLoad &load);
    /** Replaces the list of leaving replicas by the platform's. */
    void setLeaving(const std::set<ReplicaId> &leaving);
    /** Adds replicas that a peer knows to be leaving. */
    void addLeaving(const std::vector<ReplicaId> &leaving);
    const std::set<ReplicaId> &leaving() const
    {
        return m_leaving;
    }
    /** @return hosts that own replicas with requests of this node. */
    std::set<HostId> busyOwners() const;

private:
    struct ReplicaInfo
    {
        int64_t reportedOutstanding = 0;
        int64_t sentSinceReport = 0;
        int64_t ownOutstanding = 0; ///< Requests of this node that are out.
        int failures = 0;
        Millis breakerOpenUntil; ///< The circuit breaker lets nothing through before.
    };

    const NodeSettings &m_settings;
    const Clock &m_clock;
    const ClusterStore &m_store;
    const PeerTable &m_peers;
    const std::shared_ptr<const ActiveConfig> &m_config;
    std::map<ReplicaId, ReplicaInfo> m_replicas;
    std::set<ReplicaId> m_leaving;
};

}
