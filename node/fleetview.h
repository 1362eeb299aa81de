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

/** Tracks owner, load, failures and leaving state of all replicas, as this node knows them. */
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

    /** Applies an owner's load report; requests sent since the previous report are no longer added to it. */
    void report(const ReplicaLoad &load);
    /** Replaces the set of leaving replicas by the one read from the platform's store. */
    void setLeaving(const std::set<ReplicaId> &leaving);
    /** Adds replicas that a peer reports as leaving. */
    void addLeaving(const std::vector<ReplicaId> &leaving);
    const std::set<ReplicaId> &leaving() const
    {
        return m_leaving;
    }
    /** @return the hosts that own replicas on which this node has requests outstanding. */
    std::set<HostId> busyOwners() const;

private:
    struct ReplicaInfo
    {
        int64_t reportedOutstanding = 0; ///< From the owner's latest report.
        int64_t sentSinceReport = 0; ///< This node's sent less ended requests since that report.
        int64_t ownOutstanding = 0; ///< Requests of this node without an answer.
        int failures = 0;
        Millis breakerOpenUntil; ///< The circuit breaker rejects the replica until then.
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
