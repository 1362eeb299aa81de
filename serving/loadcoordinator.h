#pragma once

#include "cluster/message.h"
#include "core/ids.h"
#include "core/units.h"
#include "serving/ownertable.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace vanillaspar
{
class Clock;
class EventLog;
class PeerLink;
}

namespace vanillaspar::serving
{

class AdapterVersions;
class Admission;
class BackendTable;
class Dispatcher;
class FleetMembers;
class OrderPort;
class RecordMirror;
class ReplicaOrders;
class ResidencyMap;
class StateStore;
struct ServingSettings;
struct StoredRecord;

/** What the coordinator of loads works with. */
struct LoadContext
{
    const ServingSettings &settings;
    const Clock &clock;
    StateStore &store;
    PeerLink &peers;
    OrderPort &orders;
    EventLog &log;
    const Admission &admission;
    const FleetMembers &members;
    BackendTable &backends;
    ResidencyMap &residency;
    const AdapterVersions &versions;
    RecordMirror &coordination;
};

/**
 * Decides which host orders which replica's loads, and orders those that are this host's.
 *
 * What requests need goes to the owner of the replica as asks; what a replica holds comes back from it as news. A host
 * orders only while it can prove that its copy of the owner table is recent, and a new owner waits until the one before
 * can no longer prove that, so that a replica never hears two hosts in turn.
 */
class LoadCoordinator
{
public:
    explicit LoadCoordinator(const LoadContext &context);
    ~LoadCoordinator();

    static bool isOwnersRecord(const std::string &name);
    /** Follows the owner table. @throws DecodeError if it can't be read. */
    void onRecord(const StoredRecord &record);
    /** Takes the time at which a peer's copy of the table was proven, if it equals this host's. */
    void onPeerFreshness(int64_t revision, Millis provenAt);
    /** A replica began another life. */
    void onNewIncarnation(const ReplicaId &replica);
    void onAdapterRequest(const AdapterRequest &request);
    void onUseReport(const HostId &from, const AdapterUseReport &report);
    /** Takes news of other owners; a hub passes them on. */
    void onResidencyReport(const HostId &from, const ResidencyReportBatch &batch);
    /** Orders and tells what is due. */
    void tick();

    /** Sends the asks of this host's requests to the owners. */
    void sendAdapterRequests(Dispatcher &dispatcher);
    /** Tells the owners what this host's requests use. */
    void sendUseReports(const Dispatcher &dispatcher);
    /** Gives replicas without a live owner a new one; for the first host only. */
    void assignOwners();

    /** @return whether loads of the replica are ordered by a host that is there. */
    bool canOrder(const ReplicaId &replica) const;
    /** @return the revision of this host's copy of the table. */
    int64_t revision() const
    {
        return m_revision;
    }
    Millis freshAsOf() const
    {
        return m_freshAsOf;
    }
    /** @return this host's loads of adapters that are on their way from the weight store. */
    int64_t slowLoads() const;
    /** @return this host's loads of base models that are under way. */
    int64_t modelLoads() const;

private:
    /** Loads under way in all hosts. */
    struct FleetLoads
    {
        int64_t adapters = 0; ///< From the weight store.
        int64_t models = 0;
    };

    bool mayOrder(const ReplicaId &replica) const;
    ReplicaOrders *ordersOf(const ReplicaId &replica);
    ReplicaOrders &findOrCreateOrders(const ReplicaId &replica, const OwnerEntry &entry);
    void sendDueOrder(const ReplicaId &replica);
    bool mayLoadModel(double loadsPerSecond, int64_t fleetModelLoads) const;
    FleetLoads fleetLoads() const;
    void updateFreshness();
    /** Drops the orders of replicas that left or that another host orders now; they are no loads any more. */
    void dropOrders();
    /** Tells what this host's replicas hold, and passes on what it heard. */
    void publishReports();
    void sendReports(const std::set<HostId> &hosts, const std::vector<ResidencyReport> &reports);
    /** Sends a message to the hosts that are known. */
    void sendTo(const std::set<HostId> &hosts, const Message &message);
    /** @return whether this host orders the replica's loads, by its copy of the table. */
    bool isOwner(const ReplicaId &replica) const;
    /** @return adapters that the weight store gives out at full speed. */
    int64_t fullSpeedLoads(const PoolId &pool) const;
    std::vector<DomainMember> replicasNeedingOwner() const;
    std::vector<DomainMember> liveHubs() const;
    std::vector<HostId> lostOwners() const;

    LoadContext m_context;
    OwnerTable m_owners;
    int64_t m_revision = 0;
    Millis m_freshAsOf {-1};
    std::map<ReplicaId, std::unique_ptr<ReplicaOrders>> m_orders;
    std::map<ReplicaId, Millis> m_ownedSince; ///< When this host first saw itself as a replica's owner.
    std::map<std::pair<ReplicaId, std::string>, Millis> m_requestedAt; ///< Adapters asked for lately.
    std::set<ReplicaId> m_reportedReplicas; ///< Those that owners were last told of.
    std::vector<ResidencyReport> m_reportsForHubs; ///< Of owners that are no hubs.
    std::vector<ResidencyReport> m_reportsForLeafHosts; ///< For the hosts that this one speaks for.
    Millis m_leafHostsReportedAt {0};
    Millis m_modelLoadAt {0};
    Millis m_assignedAt {INT64_MIN / 2}; ///< When this host last changed the table.
    bool m_isAssigning = false;
};

}
