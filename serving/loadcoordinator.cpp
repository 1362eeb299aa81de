#include "serving/loadcoordinator.h"

#include "cluster/message.h"
#include "cluster/peerlink.h"
#include "core/clock.h"
#include "core/eventlog.h"
#include "serving/admission/admission.h"
#include "serving/dispatcher.h"
#include "serving/interfaces/orderport.h"
#include "serving/interfaces/servingsettings.h"
#include "serving/interfaces/statestore.h"
#include "serving/loading/replicaorders.h"
#include "serving/membership/fleetmembers.h"
#include "serving/membership/recordmirror.h"
#include "serving/replicas/backendtable.h"
#include "serving/replicas/residencymap.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace vanillaspar::serving
{

namespace
{

constexpr const char *ownersRecord = "owners";
constexpr Millis requestRepeatInterval(100); // the request or the order may be lost
// Part of the weight store's rate for base models that the hosts use together; the rest is headroom for hosts that
// start a load at the same moment.
constexpr double modelLoadRateShare = 0.85;
// Base models that the weight store transfers at full speed: 2 or 3, depending on the deployment. More at once delay
// each other: transfers one after another make the first model usable sooner than parallel ones.
constexpr int64_t fullSpeedModelLoads = 2;
// How long a host may send orders after its copy of the owner table was last fresh. Covers usual outages of the store.
constexpr Millis ownershipLease(7000);
constexpr Millis takeoverMargin(300);
// Time between two changes of the owner table, which every host reads, so that replicas that start at about the same
// time are assigned in one change.
constexpr Millis assignInterval(1500);
// Reports to leaf hosts are batched, to send fewer datagrams.
constexpr Millis leafReportInterval(40);
constexpr size_t reportsPerMessage = 16; // a few kilobytes

}

LoadCoordinator::LoadCoordinator(const LoadContext &context)
    : m_context(context)
    , m_terms(context.settings.host)
    , m_eraSeenAt(context.clock.now())
    , m_modelLoadAt(context.clock.now())
{
}

LoadCoordinator::~LoadCoordinator() = default;

bool LoadCoordinator::isOwnersRecord(const std::string &name)
{
    return name == ownersRecord;
}

void LoadCoordinator::onRecord(const StoredRecord &record)
{
    if (record.isDeleted && !record.isRestored) {
        return;
    }
    const OwnerTable table = record.isDeleted ? OwnerTable() : OwnerTable::fromJson(record.content);
    const std::set<ReplicaId> suspended
        = m_terms.onTable(table, record.position.era, m_context.clock.now(), [this](const ReplicaId &replica) {
              return mayOrder(replica);
          });
    m_owners = table;
    m_position = record.position;
    if (!suspended.empty()) {
        m_context.log.record(EventCode::OwnershipSuspended, m_context.settings.host.text(),
                             std::to_string(suspended.size()) + " replicas, owner table at " + m_position.text());
    }
}

void LoadCoordinator::onPeerFreshness(StorePosition position, Millis freshAsOf)
{
    if (position > m_position && m_context.coordination.isLoaded()) {
        m_context.coordination.refresh();
    } else if (position == m_position) {
        m_freshAsOf = std::max(m_freshAsOf, freshAsOf);
    }
}

void LoadCoordinator::updateEra()
{
    if (m_context.coordination.position().era != m_era) {
        m_era = m_context.coordination.position().era;
        m_eraSeenAt = m_context.clock.now();
    }
}

void LoadCoordinator::updateFreshness()
{
    updateEra();
    m_freshAsOf = std::max(m_freshAsOf, m_context.coordination.freshAsOf());
    // A host that owns no replicas doesn't need a fresh copy.
    if (!m_terms.isEmpty() && m_context.clock.now() - m_freshAsOf > ownershipLease / 2
        && m_context.coordination.isLoaded()) {
        m_context.coordination.refresh();
    }
}

void LoadCoordinator::onNewIncarnation(const ReplicaId &replica)
{
    if (ReplicaOrders *orders = ordersOf(replica)) {
        orders->reset();
    }
}

void LoadCoordinator::onUseReport(const HostId &from, const AdapterUseReport &report)
{
    if (ReplicaOrders *orders = ordersOf(report.replica)) {
        orders->onUseReport(from, report, m_context.clock.now());
    }
}

void LoadCoordinator::onUseReports(const HostId &from, const AdapterUseBatch &batch)
{
    for (const AdapterUseReport &report : batch.reports) {
        onUseReport(from, report);
    }
}

void LoadCoordinator::onAdapterRequest(const AdapterRequest &request)
{
    if (ReplicaOrders *orders = ordersOf(request.replica)) {
        orders->onAdapterRequest(request, m_context.clock.now());
        sendDueOrders();
    }
}

bool LoadCoordinator::isOwner(const ReplicaId &replica) const
{
    const OwnerEntry *entry = m_owners.find(replica);
    return entry != nullptr && entry->host == m_context.settings.host;
}

Millis LoadCoordinator::takeoverWait() const
{
    return ownershipLease + m_context.settings.orderLease + takeoverMargin;
}

bool LoadCoordinator::mayOrder(const ReplicaId &replica) const
{
    const Millis now = m_context.clock.now();
    if (!isOwner(replica) || m_freshAsOf.value < 0 || now - m_freshAsOf > ownershipLease) {
        return false;
    }
    // The previous owner may have sent orders until its lease expired. Its copy was last fresh before this entry was
    // written.
    return m_terms.hasBegun(m_owners, replica, takeoverWait(), now);
}

const OwnerEntry *LoadCoordinator::ownerOf(const ReplicaId &replica) const
{
    return m_owners.find(replica);
}

bool LoadCoordinator::hasOwnedFor(const ReplicaId &replica, Millis duration) const
{
    const std::optional<Millis> since = m_terms.ownedSince(replica);
    return mayOrder(replica) && since && m_context.clock.now() - *since >= duration;
}

bool LoadCoordinator::canOrder(const ReplicaId &replica) const
{
    const OwnerEntry *entry = m_owners.find(replica);
    if (entry == nullptr) {
        return false;
    }
    return entry->host == m_context.settings.host ? mayOrder(replica)
                                                  : m_context.members.isLive(entry->host, m_context.clock.now());
}

ReplicaOrders *LoadCoordinator::ordersOf(const ReplicaId &replica)
{
    const auto entry = m_orders.find(replica);
    return entry == m_orders.end() ? nullptr : entry->second.get();
}

void LoadCoordinator::tick()
{
    updateFreshness();
    dropOrders();
    sendDueOrders();
    publishReports();
}

void LoadCoordinator::sendDueOrders()
{
    // The loads of all replicas compete for the transfers that may be under way.
    const Millis now = m_context.clock.now();
    std::vector<std::pair<LoadUrgency, ReplicaId>> replicas;
    for (const auto &[replica, entry] : m_owners.entries()) {
        if (entry.host == m_context.settings.host) {
            ReplicaOrders *orders = ordersOf(replica);
            replicas.emplace_back(
                orders == nullptr ? LoadUrgency() : orders->evaluatePendingLoads(m_context.residency, now), replica);
        }
    }
    std::stable_sort(replicas.begin(), replicas.end(), [](const auto &a, const auto &b) {
        return b.first < a.first;
    });
    for (const auto &[urgency, replica] : replicas) {
        sendDueOrder(replica);
    }
}

void LoadCoordinator::dropOrders()
{
    for (auto entry = m_orders.begin(); entry != m_orders.end();) {
        const BackendState *state = m_context.backends.find(entry->first);
        const bool isKept = isOwner(entry->first) && state != nullptr && state->isUsable();
        entry = isKept ? std::next(entry) : m_orders.erase(entry);
    }
}

ReplicaOrders &LoadCoordinator::findOrCreateOrders(const ReplicaId &replica, Epoch fencingNumber)
{
    std::unique_ptr<ReplicaOrders> &orders = m_orders[replica];
    if (orders == nullptr) {
        const auto firstSequence = static_cast<uint64_t>(m_context.clock.wallNow().value);
        orders = std::make_unique<ReplicaOrders>(replica, m_context.orders, m_context.log, m_transferPacer,
                                                 firstSequence, [this] {
                                                     sendDueOrders();
                                                 });
        m_context.log.record(EventCode::ReplicaTakenOver, replica.text(),
                             "fence " + std::to_string(fencingNumber.value) + ", owner table at " + m_position.text());
    }
    return *orders;
}

void LoadCoordinator::sendDueOrder(const ReplicaId &replica)
{
    const Millis now = m_context.clock.now();
    const std::optional<Epoch> fencingNumber = m_terms.fencingNumber(replica);
    const BackendState *state = m_context.backends.find(replica);
    if (state == nullptr || !fencingNumber || !mayOrder(replica) || !state->isUsable() || now < state->avoidUntil
        || m_context.backends.isEvacuated(state->info.domain) || state->pause.isActive(now)) {
        return;
    }
    const EngineSpec *engine = m_context.admission.engineOf(state->info.pool);
    if (engine == nullptr) {
        return;
    }
    ReplicaOrders &orders = findOrCreateOrders(replica, *fencingNumber);
    if (!orders.isDue(now)) {
        return;
    }
    const OrderContext orderContext {state->info,
                                     *engine,
                                     m_context.versions,
                                     m_context.settings.host,
                                     *fencingNumber,
                                     mayLoadModel(engine->loadsPerSecond),
                                     m_transferPacer.mayStart(adapterLoads())};
    if (orders.sendNextOrder(orderContext, now)) {
        m_modelLoadAt = now;
    }
}

bool LoadCoordinator::mayLoadModel(double loadsPerSecond) const
{
    // Each hub uses an equal share of the weight store's rate.
    const double rate = loadsPerSecond * modelLoadRateShare;
    const auto owners = static_cast<double>(std::max<size_t>(m_context.members.hubs().size(), 1));
    const Millis spacing = rate > 0 ? fromSeconds(owners / rate) : Millis(0);
    return fleetModelLoads() < fullSpeedModelLoads && m_context.clock.now() - m_modelLoadAt >= spacing;
}

int64_t LoadCoordinator::fleetModelLoads() const
{
    const Millis now = m_context.clock.now();
    int64_t loads = modelLoads();
    for (const auto &[host, member] : m_context.members.peers()) {
        if (m_context.members.isHeardDirectly(host, now)) {
            loads += member.heartbeat.modelLoads;
        }
    }
    return loads;
}

int64_t LoadCoordinator::adapterLoads() const
{
    int64_t loads = 0;
    for (const auto &[replica, orders] : m_orders) {
        loads += orders->adapterLoads();
    }
    return loads;
}

int64_t LoadCoordinator::modelLoads() const
{
    return std::count_if(m_orders.begin(), m_orders.end(), [](const auto &entry) {
        return entry.second->isLoadingModel();
    });
}

void LoadCoordinator::onResidencyReport(const HostId &from, const ResidencyReportBatch &batch)
{
    const FleetMembers &members = m_context.members;
    const bool isOwnHub = members.isHub(m_context.settings.host);
    for (const ResidencyReport &report : batch.reports) {
        if (!m_context.residency.onResidencyReport(report, m_context.clock.now()) || !isOwnHub) {
            continue;
        }
        m_reportsForLeafHosts.push_back(report);
        if (!members.isHub(from)) {
            m_reportsForHubs.push_back(report);
        }
    }
}

void LoadCoordinator::publishReports()
{
    const Millis now = m_context.clock.now();
    for (const auto &[replica, orders] : m_orders) {
        const std::optional<ResidencyReport> report
            = orders->takeReport(m_context.backends.find(replica)->info, m_context.settings.host, now);
        if (report) {
            m_context.residency.onResidencyReport(*report, now);
            m_reportsForHubs.push_back(*report);
            m_reportsForLeafHosts.push_back(*report);
        }
    }
    const FleetMembers &members = m_context.members;
    if (!members.isHub(m_context.settings.host)) {
        sendReports({members.hubOf(m_context.settings.host)}, m_reportsForHubs);
        m_reportsForHubs.clear();
        m_reportsForLeafHosts.clear();
        return;
    }
    sendReports(members.hubs(), m_reportsForHubs);
    m_reportsForHubs.clear();
    if (now - m_leafHostsReportedAt >= leafReportInterval) {
        m_leafHostsReportedAt = now;
        sendReports(members.leafHosts(now), m_reportsForLeafHosts);
        m_reportsForLeafHosts.clear();
    }
}

void LoadCoordinator::sendReports(const std::set<HostId> &hosts, const std::vector<ResidencyReport> &reports)
{
    for (size_t first = 0; first < reports.size(); first += reportsPerMessage) {
        const auto begin = reports.begin() + static_cast<std::ptrdiff_t>(first);
        const auto end
            = reports.begin() + static_cast<std::ptrdiff_t>(std::min(first + reportsPerMessage, reports.size()));
        sendTo(hosts, ResidencyReportBatch {{begin, end}});
    }
}

void LoadCoordinator::sendTo(const std::set<HostId> &hosts, const Message &message)
{
    std::vector<std::string> addresses;
    for (const HostId &host : hosts) {
        const auto member = m_context.members.peers().find(host);
        if (member != m_context.members.peers().end()) {
            addresses.push_back(member->second.peerAddress);
        }
    }
    if (!addresses.empty()) {
        m_context.peers.sendAll(addresses, message);
    }
}

void LoadCoordinator::sendAdapterRequests(Dispatcher &dispatcher)
{
    requestAdapters(dispatcher.takeAdapterRequests());
}

void LoadCoordinator::requestAdapters(const std::vector<AdapterRequest> &requests)
{
    const Millis now = m_context.clock.now();
    for (auto entry = m_requestedAt.begin(); entry != m_requestedAt.end();) {
        entry = now - entry->second > requestRepeatInterval ? m_requestedAt.erase(entry) : std::next(entry);
    }
    for (const AdapterRequest &request : requests) {
        const OwnerEntry *entry = m_owners.find(request.replica);
        if (entry == nullptr || !m_requestedAt.emplace(std::make_pair(request.replica, request.weights), now).second) {
            continue;
        }
        if (entry->host == m_context.settings.host) {
            onAdapterRequest(request);
        } else {
            sendTo({entry->host}, request);
        }
    }
}

void LoadCoordinator::sendUseReports(const Dispatcher &dispatcher)
{
    std::map<ReplicaId, AdapterUseReport> reports;
    // A replica that was in the last reports and is no longer used gets one empty report.
    for (const ReplicaId &replica : m_reportedReplicas) {
        reports[replica].replica = replica;
    }
    m_reportedReplicas.clear();
    for (const auto &[replica, uses] : dispatcher.adapterUses()) {
        m_reportedReplicas.insert(replica);
        AdapterUseReport &report = reports[replica];
        report.replica = replica;
        for (const auto &[weights, use] : uses) {
            report.uses.push_back(use);
        }
    }
    std::map<HostId, AdapterUseBatch> batches;
    for (const auto &[replica, report] : reports) {
        const OwnerEntry *entry = m_owners.find(replica);
        if (entry != nullptr && entry->host == m_context.settings.host) {
            onUseReport(entry->host, report);
        } else if (entry != nullptr) {
            batches[entry->host].reports.push_back(report);
        }
    }
    for (const auto &[host, batch] : batches) {
        sendTo({host}, batch);
    }
}

std::vector<DomainMember> LoadCoordinator::replicasNeedingOwner() const
{
    std::vector<DomainMember> replicas;
    for (const auto &[id, pool] : m_context.admission.config()->pools) {
        // The owner of a plain service's replica issues the permits for it while it is cold.
        if (pool.engine || (m_context.settings.coldOvershoot > 0 && pool.coldPerSecond > 0)) {
            for (const BackendState *state : m_context.backends.inService(id)) {
                replicas.push_back({state->info.id.text(), state->info.domain});
            }
        }
    }
    return replicas;
}

std::vector<DomainMember> LoadCoordinator::liveHubs() const
{
    std::vector<DomainMember> live;
    for (const HostId &hub : m_context.members.hubs()) {
        const auto member = m_context.members.peers().find(hub);
        if (member != m_context.members.peers().end()) {
            live.push_back({hub.text(), member->second.domain});
        } else if (hub == m_context.settings.host) {
            live.push_back({hub.text(), m_context.settings.domain});
        }
    }
    return live;
}

std::vector<HostId> LoadCoordinator::lostOwners() const
{
    const Millis now = m_context.clock.now();
    std::vector<HostId> lost;
    for (const auto &[replica, entry] : m_owners.entries()) {
        if (m_context.members.isLost(entry.host, now)) {
            lost.push_back(entry.host);
        }
    }
    return lost;
}

void LoadCoordinator::assignOwners()
{
    const Millis now = m_context.clock.now();
    if (m_isAssigning || now - m_assignedAt < assignInterval || m_context.admission.config() == nullptr) {
        return;
    }
    updateEra(); // answers may have come since the last tick
    const auto known = m_context.coordination.records().find(ownersRecord);
    const StorePosition expected
        = known == m_context.coordination.records().end() ? StorePosition() : known->second.position;
    const Epoch number = m_owners.nextFencingNumber(std::max(expected, m_context.coordination.position()));
    const std::vector<DomainMember> replicas = replicasNeedingOwner();
    OwnerTable next = m_owners;
    next.remove(m_absentReplicas.update(m_owners, replicas, takeoverWait(), now));
    const bool isConfirmed = next.confirm(m_era, number);
    // A host that missed the restore may order replicas by a table that was lost, until its lease expires. That no
    // table is left doesn't show that there was none.
    const bool isEachTakeover = m_era > 0 && now - m_eraSeenAt <= takeoverWait();
    if (!next.assign(number, replicas, liveHubs(), lostOwners(), isEachTakeover) && !isConfirmed) {
        return;
    }
    m_isAssigning = true;
    m_assignedAt = now;
    const std::string change = "highest fence " + std::to_string(next.lastFencingNumber().value) + ", "
        + (isConfirmed ? "confirmed in era " + std::to_string(m_era) + ", " : "") + "replaces "
        + (expected.isNone() ? "no table" : "the table at " + expected.text());
    m_context.store.write(
        Collection::Coordination, ownersRecord, next.toJson(), expected, [this, change](StoreResult result) {
            m_isAssigning = false;
            m_context.log.record(EventCode::OwnersAssigned, m_context.settings.host.text(),
                                 "result " + std::to_string(static_cast<int>(result)) + ", " + change);
            m_context.coordination.refresh();
        });
}

}
