#include "serving/loadcoordinator.h"

#include "cluster/message.h"
#include "cluster/peerlink.h"
#include "core/clock.h"
#include "core/eventlog.h"
#include "serving/admission.h"
#include "serving/backendtable.h"
#include "serving/dispatcher.h"
#include "serving/fleetmembers.h"
#include "serving/orderport.h"
#include "serving/recordmirror.h"
#include "serving/replicaorders.h"
#include "serving/residencymap.h"
#include "serving/servingsettings.h"
#include "serving/statestore.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace vanillaspar::serving
{

namespace
{

constexpr const char *ownersRecord = "owners";
constexpr Millis askRepeat(100); // an ask or its effect may be lost
// Of the weight store's rate for base models: hosts that begin a load at the same moment must fit under it too.
constexpr double modelLoadPart = 0.85;
// Base models that the weight store gives out at full speed, by the users' sheets (2 and 3). More at once only make
// each other late: two that take turns are both of use sooner than two that share.
constexpr int64_t fullSpeedModelLoads = 2;
// A host orders for so long on its last proof that it is a replica's owner; it covers the usual outages of the store.
constexpr Millis orderHold(7000);
constexpr Millis takeoverMargin(300);
// Between two changes of the table, which every host reads: replicas that start together get their owners together.
constexpr Millis assignSpacing(1500);
// Adapters that the weight store gives out at full speed, by the users' sheets: 24 and 16 for 18 and 12 replicas, 88
// and 80 for 89 and 90.
constexpr int64_t leastFullSpeedLoads = 16;
constexpr double fullSpeedLoadsPerReplica = 0.9;
// News to hosts that are no hubs go out together, so that a datagram is worth its cost.
constexpr Millis membersInterval(40);
constexpr size_t newsPerMessage = 16; // a few kilobytes

}

LoadCoordinator::LoadCoordinator(const LoadContext &context) : m_context(context)
{
}

LoadCoordinator::~LoadCoordinator() = default;

bool LoadCoordinator::isOwnersRecord(const std::string &name)
{
    return name == ownersRecord;
}

void LoadCoordinator::onRecord(const StoredRecord &record)
{
    if (record.isDeleted) {
        return;
    }
    m_owners = OwnerTable::fromJson(record.content);
    m_revision = record.revision;
    for (const auto &[replica, entry] : m_owners.entries()) {
        if (entry.host == m_context.settings.host) {
            m_ownedSince.emplace(replica, m_context.clock.now());
        }
    }
    for (auto entry = m_ownedSince.begin(); entry != m_ownedSince.end();) {
        entry = isOwner(entry->first) ? std::next(entry) : m_ownedSince.erase(entry);
    }
}

void LoadCoordinator::onPeerProof(int64_t revision, Millis provenAt)
{
    if (revision > m_revision && m_context.coordination.isLoaded()) {
        m_context.coordination.refresh();
    } else if (revision == m_revision) {
        m_provenAt = std::max(m_provenAt, provenAt);
    }
}

void LoadCoordinator::followProof()
{
    m_provenAt = std::max(m_provenAt, m_context.coordination.provenAt());
    // Who orders nothing needs no proof of its own.
    if (!m_ownedSince.empty() && m_context.clock.now() - m_provenAt > orderHold / 2
        && m_context.coordination.isLoaded()) {
        m_context.coordination.refresh();
    }
}

void LoadCoordinator::onNewLife(const ReplicaId &replica)
{
    if (ReplicaOrders *orders = ordersOf(replica)) {
        orders->reset();
    }
}

void LoadCoordinator::onUse(const HostId &from, const AdapterUseReport &report)
{
    if (ReplicaOrders *orders = ordersOf(report.replica)) {
        orders->onUse(from, report, m_context.clock.now());
    }
}

void LoadCoordinator::onAsk(const AdapterAsk &ask)
{
    if (ReplicaOrders *orders = ordersOf(ask.replica)) {
        orders->onAsk(ask, m_context.clock.now());
        stepReplica(ask.replica);
    }
}

bool LoadCoordinator::isOwner(const ReplicaId &replica) const
{
    const OwnerEntry *entry = m_owners.find(replica);
    return entry != nullptr && entry->host == m_context.settings.host;
}

bool LoadCoordinator::mayOrder(const ReplicaId &replica) const
{
    const Millis now = m_context.clock.now();
    if (!isOwner(replica) || m_provenAt.value < 0 || now - m_provenAt > orderHold) {
        return false;
    }
    // The owner before may have ordered until its last proof ran out, and that was older than this entry.
    const auto since = m_ownedSince.find(replica);
    return !m_owners.find(replica)->isTakeover
        || (since != m_ownedSince.end()
            && now - since->second > orderHold + m_context.settings.orderLease + takeoverMargin);
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
    followProof();
    dropOrders();
    for (const auto &[replica, entry] : m_owners.entries()) {
        if (entry.host == m_context.settings.host) {
            stepReplica(replica);
        }
    }
    tellNews();
}

void LoadCoordinator::dropOrders()
{
    for (auto entry = m_orders.begin(); entry != m_orders.end();) {
        const BackendState *state = m_context.backends.find(entry->first);
        const bool isKept = isOwner(entry->first) && state != nullptr && state->isUsable();
        entry = isKept ? std::next(entry) : m_orders.erase(entry);
    }
}

ReplicaOrders &LoadCoordinator::openOrders(const ReplicaId &replica, const OwnerEntry &entry)
{
    std::unique_ptr<ReplicaOrders> &orders = m_orders[replica];
    if (orders == nullptr) {
        const auto firstSequence = static_cast<uint64_t>(m_context.clock.wallNow().value);
        orders
            = std::make_unique<ReplicaOrders>(replica, m_context.orders, m_context.log, firstSequence, [this, replica] {
                  stepReplica(replica);
              });
        m_context.log.record(EventCode::ReplicaTakenOver, replica.text(), "fence " + std::to_string(entry.fence));
    }
    return *orders;
}

void LoadCoordinator::stepReplica(const ReplicaId &replica)
{
    const Millis now = m_context.clock.now();
    const OwnerEntry *entry = m_owners.find(replica);
    const BackendState *state = m_context.backends.find(replica);
    if (state == nullptr || !mayOrder(replica) || !state->isUsable() || now < state->avoidUntil) {
        return;
    }
    const EngineSpec *engine = m_context.admission.engineOf(state->info.pool);
    if (engine == nullptr) {
        return;
    }
    ReplicaOrders &orders = openOrders(replica, *entry);
    if (!orders.isDue(now)) {
        return;
    }
    const FleetLoads loads = fleetLoads();
    const OrderTerms terms {state->info,         *engine,
                            m_context.versions,  m_context.settings.host,
                            Epoch(entry->fence), mayLoadModel(engine->loadsPerSecond, loads.models),
                            loads.adapters,      fullSpeedLoads(state->info.pool)};
    if (orders.step(terms, now)) {
        m_modelLoadAt = now;
    }
}

bool LoadCoordinator::mayLoadModel(double loadsPerSecond, int64_t fleetModelLoads) const
{
    // Every hub keeps to its even part of the weight store's rate.
    const double rate = loadsPerSecond * modelLoadPart;
    const auto owners = static_cast<double>(std::max<size_t>(m_context.members.hubs().size(), 1));
    const Millis spacing = rate > 0 ? fromSeconds(owners / rate) : Millis(0);
    return fleetModelLoads < fullSpeedModelLoads && m_context.clock.now() - m_modelLoadAt >= spacing;
}

LoadCoordinator::FleetLoads LoadCoordinator::fleetLoads() const
{
    const Millis now = m_context.clock.now();
    FleetLoads loads {slowLoads(), modelLoads()};
    for (const auto &[host, member] : m_context.members.peers()) {
        if (m_context.members.isHeard(host, now)) {
            loads.adapters += member.beat.slowLoads;
            loads.models += member.beat.modelLoads;
        }
    }
    return loads;
}

int64_t LoadCoordinator::slowLoads() const
{
    const Millis now = m_context.clock.now();
    int64_t loads = 0;
    for (const auto &[replica, orders] : m_orders) {
        loads += orders->slowLoads(now);
    }
    return loads;
}

int64_t LoadCoordinator::modelLoads() const
{
    return std::count_if(m_orders.begin(), m_orders.end(), [](const auto &entry) {
        return entry.second->isLoadingModel();
    });
}

void LoadCoordinator::onNews(const HostId &from, const ResidencyBatch &batch)
{
    const FleetMembers &members = m_context.members;
    const bool isOwnHub = members.isHub(m_context.settings.host);
    for (const ResidencyNews &news : batch.news) {
        if (!m_context.residency.onNews(news, m_context.clock.now()) || !isOwnHub) {
            continue;
        }
        m_newsForMembers.push_back(news);
        if (!members.isHub(from)) {
            m_newsForHubs.push_back(news);
        }
    }
}

void LoadCoordinator::tellNews()
{
    const Millis now = m_context.clock.now();
    for (const auto &[replica, orders] : m_orders) {
        const std::optional<ResidencyNews> news
            = orders->takeNews(m_context.backends.find(replica)->info, m_context.settings.host, now);
        if (news) {
            m_context.residency.onNews(*news, now);
            m_newsForHubs.push_back(*news);
            m_newsForMembers.push_back(*news);
        }
    }
    const FleetMembers &members = m_context.members;
    if (!members.isHub(m_context.settings.host)) {
        sendNews({members.speakerOf(m_context.settings.host)}, m_newsForHubs);
        m_newsForHubs.clear();
        m_newsForMembers.clear();
        return;
    }
    sendNews(members.hubs(), m_newsForHubs);
    m_newsForHubs.clear();
    if (now - m_membersToldAt >= membersInterval) {
        m_membersToldAt = now;
        sendNews(members.spokenFor(now), m_newsForMembers);
        m_newsForMembers.clear();
    }
}

void LoadCoordinator::sendNews(const std::set<HostId> &hosts, const std::vector<ResidencyNews> &news)
{
    for (size_t first = 0; first < news.size(); first += newsPerMessage) {
        const auto begin = news.begin() + static_cast<std::ptrdiff_t>(first);
        const auto end = news.begin() + static_cast<std::ptrdiff_t>(std::min(first + newsPerMessage, news.size()));
        sendTo(hosts, ResidencyBatch {{begin, end}});
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

int64_t LoadCoordinator::fullSpeedLoads(const PoolId &pool) const
{
    const auto replicas = static_cast<double>(m_context.backends.usable(pool).size());
    return std::max(leastFullSpeedLoads, static_cast<int64_t>(replicas * fullSpeedLoadsPerReplica));
}

void LoadCoordinator::sendAsks(Dispatcher &dispatcher)
{
    const Millis now = m_context.clock.now();
    for (auto entry = m_askedAt.begin(); entry != m_askedAt.end();) {
        entry = now - entry->second > askRepeat ? m_askedAt.erase(entry) : std::next(entry);
    }
    for (const AdapterAsk &ask : dispatcher.takeAdapterRequests()) {
        const OwnerEntry *entry = m_owners.find(ask.replica);
        if (entry == nullptr || !m_askedAt.emplace(std::make_pair(ask.replica, ask.weights), now).second) {
            continue;
        }
        if (entry->host == m_context.settings.host) {
            onAsk(ask);
        } else {
            sendTo({entry->host}, ask);
        }
    }
}

void LoadCoordinator::sendUses(const Dispatcher &dispatcher)
{
    std::map<ReplicaId, AdapterUseReport> reports;
    // A replica that was told of before and is used no more is told so once.
    for (const ReplicaId &replica : m_usedReplicas) {
        reports[replica].replica = replica;
    }
    m_usedReplicas.clear();
    for (const auto &[replica, uses] : dispatcher.adapterUses()) {
        m_usedReplicas.insert(replica);
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
            onUse(entry->host, report);
        } else if (entry != nullptr) {
            batches[entry->host].reports.push_back(report);
        }
    }
    for (const auto &[host, batch] : batches) {
        sendTo({host}, batch);
    }
}

std::vector<Placeable> LoadCoordinator::replicasToOwn() const
{
    std::vector<Placeable> replicas;
    for (const auto &[id, pool] : m_context.admission.config()->pools) {
        if (pool.engine) {
            for (const BackendState *state : m_context.backends.usable(id)) {
                replicas.push_back({state->info.id.text(), state->info.domain});
            }
        }
    }
    return replicas;
}

std::vector<Placeable> LoadCoordinator::liveHubs() const
{
    std::vector<Placeable> live;
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
    if (m_isAssigning || now - m_assignedAt < assignSpacing || m_context.admission.config() == nullptr) {
        return;
    }
    OwnerTable next = m_owners;
    if (!next.assign(replicasToOwn(), liveHubs(), lostOwners())) {
        return;
    }
    m_isAssigning = true;
    m_assignedAt = now;
    const auto known = m_context.coordination.records().find(ownersRecord);
    const int64_t revision = known == m_context.coordination.records().end() ? 0 : known->second.revision;
    m_context.store.write(Collection::Coordination, ownersRecord, next.toJson(), revision, [this](StoreResult result) {
        m_isAssigning = false;
        m_context.log.record(EventCode::OwnersAssigned, m_context.settings.host.text(),
                             "result " + std::to_string(static_cast<int>(result)));
        m_context.coordination.refresh();
    });
}

}
