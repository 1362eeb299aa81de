#pragma once

#include "cluster/message.h"
#include "core/ids.h"
#include "core/units.h"
#include "policy/transferpacer.h"
#include "serving/interfaces/storeposition.h"
#include "serving/loading/absentreplicas.h"
#include "serving/loading/ownershipterms.h"
#include "serving/loading/ownertable.h"

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

/** The components that LoadCoordinator works with. */
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
 * Assigns each replica an owner, the host that orders its loads, and sends the orders for replicas that this host owns.
 *
 * Hosts send the owner of a replica requests for the adapters that they need there, and the owner publishes reports of
 * what is resident. An owner sends orders only while its copy of the owner table is known to be fresh, and a new owner
 * waits until the lease of the previous one has expired, so that a replica never gets orders of two hosts in turn.
 */
class LoadCoordinator
{
public:
    explicit LoadCoordinator(const LoadContext &context);
    ~LoadCoordinator();

    /** @return whether @p name is the name of the owner table's record in the store. */
    static bool isOwnersRecord(const std::string &name);
    /**
     * Applies a new position of the owner table. If the record was deleted, it does nothing, unless a restore of the
     * store lost the record: then no replica has an owner.
     *
     * @param record the owner table's record.
     * @throws DecodeError if the record can't be decoded.
     */
    void onRecord(const StoredRecord &record);
    /**
     * Takes over the freshness of a peer's copy of the owner table if it has the same position as this host's; reads
     * the record again if the peer's position is newer.
     *
     * @param position of the peer's copy.
     * @param freshAsOf the latest time at which the peer's copy is known to equal the store's.
     */
    void onPeerFreshness(StorePosition position, Millis freshAsOf);
    /** Resets the orders of a replica that has restarted. */
    void onNewIncarnation(const ReplicaId &replica);
    /** Handles a request of this or another host for an adapter in a replica that this host owns. */
    void onAdapterRequest(const AdapterRequest &request);
    /** Handles a report of what a host uses in a replica that this host owns. */
    void onUseReport(const HostId &from, const AdapterUseReport &report);
    /** Handles several such reports. */
    void onUseReports(const HostId &from, const AdapterUseBatch &batch);
    /**
     * Handles residency reports of other owners. A hub forwards new ones to its leaf hosts, and those of a leaf host to
     * the other hubs as well.
     *
     * @param from the host that sent or forwarded the reports.
     * @param batch reports on any replicas.
     */
    void onResidencyReport(const HostId &from, const ResidencyReportBatch &batch);
    /** Sends orders and residency reports that are due. */
    void tick();

    /** Sends the owners the requests for adapters that this host's requests wait for. */
    void sendAdapterRequests(Dispatcher &dispatcher);
    /** Sends the owners requests for adapters, each at most once in a short time. */
    void requestAdapters(const std::vector<AdapterRequest> &requests);
    /** Reports to the owners which adapters this host's requests use. */
    void sendUseReports(const Dispatcher &dispatcher);
    /** Assigns owners to replicas without a live one and writes the table. Only one host at a time should call it. */
    void assignOwners();

    /** @return the replica's owner by this host's copy of the table; nullptr if it has none. */
    const OwnerEntry *ownerOf(const ReplicaId &replica) const;
    /** @return whether this host is the only possible owner of the replica and has known for @p duration that it is. */
    bool hasOwnedFor(const ReplicaId &replica, Millis duration) const;
    /** @return whether the replica has a live owner that may order its loads. */
    bool canOrder(const ReplicaId &replica) const;
    /** @return the position of this host's copy of the owner table. */
    StorePosition position() const
    {
        return m_position;
    }
    /** @return the latest time at which this host's copy of the owner table is known to equal the store's. */
    Millis freshAsOf() const
    {
        return m_freshAsOf;
    }
    /** @return the number of adapters that this host ordered and that are being transferred from the weight store. */
    int64_t adapterLoads() const;
    /** @return the number of base models that this host ordered and that are being loaded. */
    int64_t modelLoads() const;

private:
    /** @return whether this host owns the replica and its lease is valid. */
    bool mayOrder(const ReplicaId &replica) const;
    /** @return the orders of a replica, or nullptr. */
    ReplicaOrders *ordersOf(const ReplicaId &replica);
    ReplicaOrders &findOrCreateOrders(const ReplicaId &replica, Epoch fencingNumber);
    /** Sends the orders that are due for all replicas that this host owns, the most urgent first. */
    void sendDueOrders();
    /** Sends the next order to the replica if this host may and one is due. */
    void sendDueOrder(const ReplicaId &replica);
    /** @return whether the weight store's rate allows this host to order another base model now. */
    bool mayLoadModel(double loadsPerSecond) const;
    /** @return the number of base models being loaded that any host ordered, as far as known. */
    int64_t fleetModelLoads() const;
    /** Notes the era of the coordination records, and when this host first read them in it. */
    void updateEra();
    /** Updates the freshness of the owner table, and reads it again if half of the lease has passed. */
    void updateFreshness();
    /** Deletes the orders of replicas that left or have another owner, so that they no longer count as loads. */
    void dropOrders();
    /** Sends reports of the replicas that this host owns, and forwards received ones. */
    void publishReports();
    void sendReports(const std::set<HostId> &hosts, const std::vector<ResidencyReport> &reports);
    /** Sends a message to those of the hosts whose address is known. */
    void sendTo(const std::set<HostId> &hosts, const Message &message);
    /** @return how long a new owner waits for the lease of the previous one to expire, in milliseconds. */
    Millis takeoverWait() const;
    /** @return whether this host is the replica's owner, by its copy of the table. */
    bool isOwner(const ReplicaId &replica) const;
    std::vector<DomainMember> replicasNeedingOwner() const;
    std::vector<DomainMember> liveHubs() const;
    std::vector<HostId> lostOwners() const;

    LoadContext m_context;
    OwnerTable m_owners;
    StorePosition m_position;
    Millis m_freshAsOf {-1};
    TransferPacer m_transferPacer; ///< Of loads from the weight store that this host ordered.
    std::map<ReplicaId, std::unique_ptr<ReplicaOrders>> m_orders;
    OwnershipTerms m_terms;
    int64_t m_era = 0; ///< Of the coordination records.
    Millis m_eraSeenAt; ///< When this host first read the coordination records in that era.
    std::map<std::pair<ReplicaId, std::string>, Millis> m_requestedAt; ///< Adapters requested recently.
    std::set<ReplicaId> m_reportedReplicas; ///< Replicas in the last use reports.
    std::vector<ResidencyReport> m_reportsForHubs; ///< Own reports and those of leaf hosts.
    std::vector<ResidencyReport> m_reportsForLeafHosts; ///< To forward to the leaf hosts of this hub.
    Millis m_leafHostsReportedAt {0};
    Millis m_modelLoadAt; ///< Last order of a base model; at first the start, as this host's last process may have sent
                          ///< one.
    Millis m_assignedAt {INT64_MIN / 2}; ///< When this host last changed the table.
    AbsentReplicas m_absentReplicas;
    bool m_isAssigning = false;
};

}
