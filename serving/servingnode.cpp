#include "serving/servingnode.h"

#include "cluster/peerlink.h"
#include "core/clock.h"
#include "core/error.h"
#include "core/eventlog.h"
#include "core/hash.h"
#include "serving/orderport.h"
#include "serving/replicaorders.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace vanillaspar::serving
{

namespace
{

constexpr const char *ownersRecord = "owners";

// How long the store holds a watch of the configuration. The first host asks most often, and its proof that the
// configuration is the newest reaches the others with its beats; theirs show that they reach the store themselves.
constexpr Millis firstConfigWait(1200);
constexpr Millis otherConfigWait(2500);
constexpr Millis longWait(10000);
constexpr Millis configGap(20);
// Replicas write often, mostly about adapters, which the hosts tell each other sooner. The first host follows closely and
// names the changes that matter in its beats; the others ask then, and on their own within the time in which a leaving
// replica may get work.
constexpr Millis firstBackendGap(400);
constexpr Millis otherBackendGap(1400);
constexpr Millis versionGap(300);
constexpr Millis coordinationGap(100);
// A proof older than this is renewed at once; half of the usual bound on withdrawn keys.
constexpr Millis proofRefresh(2200);
// Kept between the end of a proof and its use, for a request's way to its replica.
constexpr Millis trustMargin(300);
// A host whose own calls of the store have failed for so long sends callers elsewhere.
constexpr Millis storeSilence(3500);

constexpr Millis beatInterval(100);
constexpr Millis askRepeat(100); // an ask or its effect may be lost
constexpr Millis useInterval(200);
// Of the weight store's rate for base models: hosts that begin a load at the same moment must fit under it too.
constexpr double modelLoadPart = 0.85;
// Base models that the weight store gives out at full speed, by the users' sheets (2 and 3). More at once only make each
// other late: two that take turns are both of use sooner than two that share.
constexpr int64_t fullSpeedModelLoads = 2;
constexpr Millis retryWrite(500);
constexpr Millis assignInterval(500);
// All hosts of a first start are there by then, so that replicas are shared out evenly at once.
constexpr Millis firstAssignment(2000);
// A host orders for so long on its last proof that it is a replica's owner; it covers the usual outages of the store.
constexpr Millis orderHold(7000);
constexpr Millis takeoverMargin(300);
// Entries of replicas that lapsed during an outage are back within two seconds of its end.
constexpr Millis lapseGrace(2200);

// Callers follow a new address list within three of its lifetimes.
constexpr Millis drainServing(3500);
constexpr Millis drainRefusing(2500); // before the end of the grace
constexpr Millis drainEnd(400); // before the end of the grace

constexpr double millisPerSecond = 1000;

uint32_t shortHash(const std::string &text)
{
    return static_cast<uint32_t>(stableHash(text));
}

Incarnation drawIncarnation(Random &random)
{
    return Incarnation(std::to_string(random.next()));
}

}

/** Handles the messages between hosts that this node takes. */
struct FleetMessageHandler
{
    ServingNode &node;
    const HostId &from;

    void operator()(const HostBeat &beat) const
    {
        node.onBeat(from, beat);
    }
    void operator()(const ResidencyNews &news) const
    {
        node.m_residency.onNews(from, news, node.m_ports.clock.now());
    }
    void operator()(const AdapterAsk &ask) const
    {
        node.onAsk(ask);
    }
    void operator()(const AdapterUseReport &report) const
    {
        if (ReplicaOrders *orders = node.ordersOf(report.replica)) {
            orders->onUse(from, report, node.m_ports.clock.now());
        }
    }
    template<class Other>
    void operator()(const Other & /*message*/) const
    {
        node.m_ports.log.record(EventCode::MessageRejected, from.text(), "a message of another kind of node");
    }
};

ServingNode::ServingNode(ServingSettings settings, ServingPorts ports, uint64_t seed)
    : m_settings(std::move(settings))
    , m_ports(std::move(ports))
    , m_random(seed)
    , m_admission(m_random)
    , m_members(m_settings, drawIncarnation(m_random))
    , m_chooser(m_backends, m_residency, m_versions, m_settings.domain,
                [this](const ReplicaId &replica) {
                    return canOrder(replica);
                })
    , m_requestLog(m_ports.log)
    , m_dispatcher({m_ports.clock, m_ports.callers, m_ports.attempts, m_admission, m_backends, m_residency, m_versions,
                    m_chooser, m_requestLog, m_settings.domain})
    , m_configuration(m_ports.store, Collection::Configuration, {otherConfigWait, configGap}, m_ports.clock, m_random,
                      m_ports.log,
                      [this](const std::vector<StoredRecord> &records) {
                          onConfiguration(records);
                      })
    , m_backendRecords(m_ports.store, Collection::Backends, {longWait, firstBackendGap}, m_ports.clock, m_random, m_ports.log,
                       [this](const std::vector<StoredRecord> &records) {
                           onBackends(records);
                       })
    , m_versionRecords(m_ports.store, Collection::AdapterVersions, {longWait, versionGap}, m_ports.clock, m_random,
                       m_ports.log,
                       [this](const std::vector<StoredRecord> &records) {
                           onVersions(records);
                       })
    , m_coordination(m_ports.store, Collection::Coordination, {longWait, coordinationGap}, m_ports.clock, m_random,
                     m_ports.log,
                     [this](const std::vector<StoredRecord> &records) {
                         onCoordination(records);
                     })
    , m_startedAt(m_ports.clock.now())
{
    setSettings(m_settings);
    m_ports.log.record(EventCode::NodeStarted, m_settings.host.text(),
                       "incarnation " + m_members.incarnation().text());
}

ServingNode::~ServingNode() = default;

void ServingNode::setSettings(const ServingSettings &settings)
{
    m_settings = settings;
    m_versions.setGrace(m_settings.versionLimit / 2);
}

void ServingNode::onConfiguration(const std::vector<StoredRecord> &records)
{
    for (const StoredRecord &record : records) {
        if (record.isDeleted) {
            continue; // a configuration is replaced, never withdrawn
        }
        try {
            const std::shared_ptr<const ServingConfig> config = m_ports.decoder.configuration(record);
            if (config == nullptr) {
                continue;
            }
            m_configRevision = record.revision;
            m_admission.setConfig(config, m_ports.clock.now());
            m_ports.onLimits(config->limits);
            m_ports.log.record(EventCode::ConfigInForce, std::to_string(config->version.value),
                               "revision " + std::to_string(record.revision) + ", "
                                   + std::to_string(config->routes.size()) + " routes");
        } catch (const Error &error) {
            m_ports.log.record(EventCode::ConfigRejected, record.name, error.what());
        }
    }
}

void ServingNode::onBackends(const std::vector<StoredRecord> &records)
{
    const Millis now = m_ports.clock.now();
    const Millis recoveredAt = m_backendRecords.recoveredAt();
    const bool isJustBack = recoveredAt.value >= 0 && now - recoveredAt < lapseGrace;
    for (const StoredRecord &record : records) {
        const ReplicaId id(record.name);
        if (record.isDeleted) {
            if (isJustBack) {
                m_lapsed.emplace(id, recoveredAt + lapseGrace);
            } else {
                m_backends.remove(id, now);
                m_backendsRevision = std::max(m_backendsRevision, record.revision);
                m_ports.log.record(EventCode::ReplicaLeaving, id.text(), "its entry was removed");
            }
            continue;
        }
        try {
            Backend backend = m_ports.decoder.backend(record);
            m_lapsed.erase(id);
            const BackendState *known = m_backends.find(id);
            if (known == nullptr || known->info.isLeaving != backend.isLeaving
                || known->info.holdings.bornAt != backend.holdings.bornAt) {
                m_backendsRevision = std::max(m_backendsRevision, record.revision);
            }
            if (backend.isLeaving && (known == nullptr || !known->info.isLeaving)) {
                m_ports.log.record(EventCode::ReplicaLeaving, id.text(), "it says that it leaves");
            }
            m_residency.onDiscovered(backend, now);
            if (m_backends.upsert(std::move(backend))) {
                m_ports.log.record(EventCode::ReplicaRestarted, id.text(), "a new life under the same id");
                if (ReplicaOrders *orders = ordersOf(id)) {
                    orders->reset();
                }
            }
        } catch (const Error &error) {
            // The entry may come from another writer: it names no replica to use.
            m_backends.remove(id, now);
            m_ports.log.record(EventCode::StoreRecordRejected, record.name, error.what());
        }
    }
}

void ServingNode::removeLapsed()
{
    const Millis now = m_ports.clock.now();
    for (auto entry = m_lapsed.begin(); entry != m_lapsed.end();) {
        if (now >= entry->second) {
            m_backends.remove(entry->first, now);
            m_ports.log.record(EventCode::ReplicaLeaving, entry->first.text(), "its entry lapsed in an outage");
            entry = m_lapsed.erase(entry);
        } else {
            ++entry;
        }
    }
    m_backends.forgetGone(now);
}

void ServingNode::onVersions(const std::vector<StoredRecord> &records)
{
    for (const StoredRecord &record : records) {
        if (record.isDeleted) {
            continue;
        }
        try {
            const auto [weights, version] = m_ports.decoder.adapterVersion(record);
            m_versions.announce(weights, version, m_ports.clock.now());
        } catch (const Error &error) {
            m_ports.log.record(EventCode::StoreRecordRejected, record.name, error.what());
        }
    }
}

void ServingNode::onCoordination(const std::vector<StoredRecord> &records)
{
    const Millis now = m_ports.clock.now();
    for (const StoredRecord &record : records) {
        try {
            if (FleetMembers::isHostRecord(record.name)) {
                m_members.onRecord(record, now);
            } else if (record.name == ownersRecord && !record.isDeleted) {
                m_owners = OwnerTable::fromJson(record.content);
                m_ownersRevision = record.revision;
                for (const auto &[replica, entry] : m_owners.entries()) {
                    if (entry.host == m_settings.host) {
                        m_ownedSince.emplace(replica, now);
                    } else {
                        m_ownedSince.erase(replica);
                        m_orders.erase(replica);
                    }
                }
            }
        } catch (const Error &error) {
            m_ports.log.record(EventCode::StoreRecordRejected, record.name, error.what());
        }
    }
}

void ServingNode::onPeerMessage(const HostId &from, const Message &message)
{
    std::visit(FleetMessageHandler {*this, from}, message);
}

void ServingNode::onBeat(const HostId &from, const HostBeat &beat)
{
    const Millis now = m_ports.clock.now();
    if (!m_members.onBeat(from, beat, now)) {
        return;
    }
    m_backends.setPeerUse(from, beat.uses);
    for (auto &[team, quota] : m_admission.quotas()) {
        const uint32_t name = shortHash(team.text());
        for (const TeamUse &use : beat.teams) {
            if (use.team == name) {
                quota.onReport(from, beat.incarnation.text(), use.admitted, now);
            }
        }
    }
    if (beat.configuration.revision > m_configRevision && m_configuration.isLoaded()) {
        m_configuration.refresh();
    } else if (beat.configuration.revision == m_configRevision) {
        m_configProvenAt = std::max(m_configProvenAt, m_members.proofTime(beat, beat.configuration));
    }
    if (beat.backendsRevision > m_backendRecords.asOf() && m_backendRecords.isLoaded()) {
        m_backendRecords.refresh();
    }
    if (beat.owners.revision > m_ownersRevision && m_coordination.isLoaded()) {
        m_coordination.refresh();
    } else if (beat.owners.revision == m_ownersRevision) {
        m_ownersProvenAt = std::max(m_ownersProvenAt, m_members.proofTime(beat, beat.owners));
    }
}

void ServingNode::followTrust()
{
    const Millis now = m_ports.clock.now();
    m_configProvenAt = std::max(m_configProvenAt, m_configuration.provenAt());
    m_ownersProvenAt = std::max(m_ownersProvenAt, m_coordination.provenAt());
    const Millis trustedUntil = m_configProvenAt + m_settings.revokeLimit - trustMargin;
    m_admission.setTrustedUntil(trustedUntil);
    const bool isTrusted = m_configProvenAt.value >= 0 && now < trustedUntil;
    if (m_wasTrusted && !isTrusted) {
        m_ports.log.record(EventCode::ConfigUnconfirmed, std::to_string(m_configRevision),
                           "proven " + std::to_string((now - m_configProvenAt).value) + " ms ago");
    }
    m_wasTrusted = isTrusted;
    const bool isFirst = m_members.isFirst(now);
    m_configuration.setPace({isFirst ? firstConfigWait : otherConfigWait, configGap});
    m_backendRecords.setPace({longWait, isFirst ? firstBackendGap : otherBackendGap});
    if (now - m_configProvenAt > proofRefresh && m_configuration.isLoaded()) {
        m_configuration.refresh();
    }
    if (now - m_ownersProvenAt > orderHold / 2 && m_coordination.isLoaded()) {
        m_coordination.refresh();
    }
}

void ServingNode::tick()
{
    const Millis now = m_ports.clock.now();
    m_configuration.tick();
    m_backendRecords.tick();
    m_versionRecords.tick();
    m_coordination.tick();
    followTrust();
    removeLapsed();
    writeOwnRecord();
    if (now - m_beatAt >= beatInterval) {
        m_beatAt = now;
        sendBeats();
    }
    if (now - m_assignAt >= assignInterval) {
        m_assignAt = now;
        assignOwners();
    }
    m_dispatcher.tick();
    sendAsks();
    if (now - m_useAt >= useInterval) {
        m_useAt = now;
        sendUses();
    }
    stepOrders();
    tellNews();
    if (m_drainStartedAt.value >= 0 && now - m_drainStartedAt > m_settings.shutdownGrace - drainRefusing) {
        m_dispatcher.stopAccepting();
    }
}

RecordProof ServingNode::proofOf(int64_t revision, Millis provenAt) const
{
    const Millis now = m_ports.clock.now();
    return {revision, provenAt.value < 0 ? -1 : (now - provenAt).value};
}

HostBeat ServingNode::makeBeat() const
{
    const Millis now = m_ports.clock.now();
    HostBeat beat;
    beat.incarnation = m_members.incarnation();
    beat.isReady = isReady();
    beat.isStopping = m_drainStartedAt.value >= 0;
    beat.reachesStore = m_configuration.isReachable() && now - m_configuration.provenAt() < storeSilence;
    beat.slowLoads = static_cast<uint16_t>(slowLoads());
    beat.modelLoads = static_cast<uint16_t>(modelLoads());
    beat.backendsRevision = m_backendsRevision;
    beat.configuration = proofOf(m_configRevision, m_configProvenAt);
    beat.owners = proofOf(m_ownersRevision, m_ownersProvenAt);
    beat.uses = m_backends.ownUse();
    for (const auto &[team, quota] : const_cast<Admission &>(m_admission).quotas()) {
        if (quota.isLimited()) {
            beat.teams.push_back({shortHash(team.text()), quota.admitted()});
        }
    }
    return beat;
}

void ServingNode::sendBeats()
{
    const Millis now = m_ports.clock.now();
    HostBeat beat = makeBeat();
    beat.sequence = m_members.beginRound(now);
    int64_t silent = 0;
    std::string live = m_settings.host.text();
    for (const auto &[host, member] : m_members.peers()) {
        beat.echoed = member.beat.sequence;
        m_ports.peers.send(member.peerAddress, beat);
        if (!m_members.isLive(host, now)) {
            ++silent;
            m_backends.setPeerUse(host, {});
        } else {
            live += " " + host.text();
        }
    }
    for (auto &[team, quota] : m_admission.quotas()) {
        quota.setHosts(static_cast<int64_t>(m_members.peers().size()) + 1, silent, now);
    }
    const int64_t hosts = static_cast<int64_t>(m_members.peers().size()) + 1;
    // Nine tenths of the bound: what is on its way at a window's edges counts in both.
    constexpr double safety = 0.9;
    m_dispatcher.setRetryBounds(m_settings.retryRatio * safety,
                                m_settings.retryAllowance * safety / static_cast<double>(hosts),
                                m_settings.retryWindow);
    if (live != m_liveHosts) {
        m_liveHosts = live;
        m_ports.log.record(EventCode::HostListChanged, m_settings.host.text(), live);
    }
}

void ServingNode::onRequest(ClientRequest request)
{
    m_dispatcher.onRequest(std::move(request));
    sendAsks();
}

void ServingNode::sendAsks()
{
    const Millis now = m_ports.clock.now();
    for (auto entry = m_askedAt.begin(); entry != m_askedAt.end();) {
        entry = now - entry->second > askRepeat ? m_askedAt.erase(entry) : std::next(entry);
    }
    for (const AdapterAsk &ask : m_dispatcher.takeAsks()) {
        if (!m_askedAt.emplace(std::make_pair(ask.replica, ask.weights), now).second) {
            continue;
        }
        const OwnerEntry *entry = m_owners.find(ask.replica);
        if (entry == nullptr) {
            continue;
        }
        if (entry->host == m_settings.host) {
            onAsk(ask);
        } else {
            const auto owner = m_members.peers().find(entry->host);
            if (owner != m_members.peers().end()) {
                m_ports.peers.send(owner->second.peerAddress, ask);
            }
        }
    }
}

void ServingNode::onAsk(const AdapterAsk &ask)
{
    if (ReplicaOrders *orders = ordersOf(ask.replica)) {
        orders->onAsk(ask, m_ports.clock.now());
        stepReplica(ask.replica);
    }
}

void ServingNode::sendUses()
{
    const Millis now = m_ports.clock.now();
    for (const auto &[replica, uses] : m_dispatcher.adapterUses()) {
        const OwnerEntry *entry = m_owners.find(replica);
        if (entry == nullptr) {
            continue;
        }
        AdapterUseReport report {replica, {}};
        for (const auto &[weights, use] : uses) {
            report.uses.push_back(use);
        }
        if (entry->host == m_settings.host) {
            if (ReplicaOrders *orders = ordersOf(replica)) {
                orders->onUse(m_settings.host, report, now);
            }
        } else {
            const auto owner = m_members.peers().find(entry->host);
            if (owner != m_members.peers().end()) {
                m_ports.peers.send(owner->second.peerAddress, report);
            }
        }
    }
}

bool ServingNode::mayOrder(const ReplicaId &replica) const
{
    const OwnerEntry *entry = m_owners.find(replica);
    const Millis now = m_ports.clock.now();
    if (entry == nullptr || entry->host != m_settings.host || m_ownersProvenAt.value < 0
        || now - m_ownersProvenAt > orderHold) {
        return false;
    }
    // The owner before may have ordered until its last proof ran out, and that was older than this entry.
    const auto since = m_ownedSince.find(replica);
    return !entry->isTakeover
        || (since != m_ownedSince.end() && now - since->second > orderHold + m_settings.orderLease + takeoverMargin);
}

bool ServingNode::canOrder(const ReplicaId &replica) const
{
    const OwnerEntry *entry = m_owners.find(replica);
    if (entry == nullptr) {
        return false;
    }
    return entry->host == m_settings.host ? mayOrder(replica) : m_members.isLive(entry->host, m_ports.clock.now());
}

ReplicaOrders *ServingNode::ordersOf(const ReplicaId &replica)
{
    const auto entry = m_orders.find(replica);
    return entry == m_orders.end() ? nullptr : entry->second.get();
}

void ServingNode::stepOrders()
{
    for (const auto &[replica, entry] : m_owners.entries()) {
        if (entry.host == m_settings.host) {
            stepReplica(replica);
        }
    }
}

void ServingNode::stepReplica(const ReplicaId &replica)
{
    const Millis now = m_ports.clock.now();
    const ServingConfig *config = m_admission.config();
    const OwnerEntry *entry = m_owners.find(replica);
    const BackendState *state = m_backends.find(replica);
    if (config == nullptr || state == nullptr || !mayOrder(replica) || !state->isUsable() || now < state->avoidUntil) {
        return;
    }
    const auto pool = config->pools.find(state->info.pool);
    if (pool == config->pools.end() || !pool->second.engine) {
        return;
    }
    std::unique_ptr<ReplicaOrders> &orders = m_orders[replica];
    if (orders == nullptr) {
        const auto firstSequence = static_cast<uint64_t>(m_ports.clock.wallNow().value);
        orders = std::make_unique<ReplicaOrders>(replica, m_ports.orders, m_ports.log, firstSequence, [this, replica] {
            stepReplica(replica);
        });
        m_ports.log.record(EventCode::ReplicaTakenOver, replica.text(), "fence " + std::to_string(entry->fence));
    }
    const FleetLoads loads = fleetLoads();
    orders->setFleetLoads(loads.adapters);
    const EngineSpec &engine = *pool->second.engine;
    // Every host keeps to its even part of the weight store's rate.
    const double rate = engine.loadsPerSecond * modelLoadPart;
    const auto hosts = static_cast<double>(m_members.peers().size() + 1);
    const Millis spacing(rate > 0 ? static_cast<int64_t>(hosts * millisPerSecond / rate) : 0);
    const bool mayLoadModel = loads.models < fullSpeedModelLoads && now - m_modelLoadAt >= spacing;
    if (orders->step({state->info, engine, m_versions, m_settings.host, Epoch(entry->fence), mayLoadModel}, now)) {
        m_modelLoadAt = now;
    }
}

ServingNode::FleetLoads ServingNode::fleetLoads() const
{
    const Millis now = m_ports.clock.now();
    FleetLoads loads {slowLoads(), modelLoads()};
    for (const auto &[host, member] : m_members.peers()) {
        if (m_members.isLive(host, now)) {
            loads.adapters += member.beat.slowLoads;
            loads.models += member.beat.modelLoads;
        }
    }
    return loads;
}

int64_t ServingNode::slowLoads() const
{
    const Millis now = m_ports.clock.now();
    int64_t loads = 0;
    for (const auto &[replica, orders] : m_orders) {
        loads += orders->slowLoads(now);
    }
    return loads;
}

int64_t ServingNode::modelLoads() const
{
    return std::count_if(m_orders.begin(), m_orders.end(), [](const auto &entry) {
        return entry.second->isLoadingModel();
    });
}

void ServingNode::tellNews()
{
    const Millis now = m_ports.clock.now();
    for (const auto &[replica, orders] : m_orders) {
        const BackendState *state = m_backends.find(replica);
        if (state == nullptr || !state->isUsable()) {
            continue;
        }
        const std::optional<ResidencyNews> news = orders->takeNews(state->info, now);
        if (!news) {
            continue;
        }
        m_residency.onNews(m_settings.host, *news, now);
        for (const auto &[host, member] : m_members.peers()) {
            m_ports.peers.send(member.peerAddress, *news);
        }
    }
}

void ServingNode::writeOwnRecord()
{
    const Millis now = m_ports.clock.now();
    if (m_hasOwnRecord || m_isWritingRecord || !m_coordination.isLoaded() || now < m_recordAt) {
        return;
    }
    const nlohmann::json content {{"domain", m_settings.domain.text()},
                                  {"peer", m_settings.peerAddress},
                                  {"caller", m_settings.callerAddress}};
    const auto known = m_coordination.records().find(m_members.ownRecordName());
    const bool isKnown = known != m_coordination.records().end();
    if (isKnown && known->second.content == content) {
        m_hasOwnRecord = true;
        return;
    }
    m_isWritingRecord = true;
    m_ports.store.write(Collection::Coordination, m_members.ownRecordName(), content,
                        isKnown ? known->second.revision : 0, [this](StoreWrite write) {
                            m_isWritingRecord = false;
                            m_hasOwnRecord = write.result == StoreResult::Done;
                            m_recordAt = m_ports.clock.now() + retryWrite;
                            if (!m_hasOwnRecord) {
                                m_coordination.refresh();
                            }
                        });
}

void ServingNode::assignOwners()
{
    const Millis now = m_ports.clock.now();
    const ServingConfig *config = m_admission.config();
    if (m_isAssigning || config == nullptr || !m_coordination.isLoaded() || !m_coordination.isReachable()
        || !m_hasOwnRecord || !m_backendRecords.isLoaded() || now - m_startedAt < firstAssignment
        || m_drainStartedAt.value >= 0 || !m_members.isFirst(now)) {
        return;
    }
    std::vector<Placeable> replicas;
    for (const auto &[id, pool] : config->pools) {
        if (pool.engine) {
            for (const BackendState *state : m_backends.usable(id)) {
                replicas.push_back({state->info.id.text(), state->info.domain});
            }
        }
    }
    std::vector<Placeable> live {{m_settings.host.text(), m_settings.domain}};
    for (const auto &[host, member] : m_members.peers()) {
        if (m_members.isLive(host, now) && !member.beat.isStopping) {
            live.push_back({host.text(), member.domain});
        }
    }
    std::vector<HostId> lost;
    for (const auto &[replica, entry] : m_owners.entries()) {
        if (m_members.isLost(entry.host, now)) {
            lost.push_back(entry.host);
        }
    }
    OwnerTable next = m_owners;
    if (!next.assign(replicas, live, lost)) {
        return;
    }
    m_isAssigning = true;
    const auto known = m_coordination.records().find(ownersRecord);
    const int64_t revision = known == m_coordination.records().end() ? 0 : known->second.revision;
    m_ports.store.write(Collection::Coordination, ownersRecord, next.toJson(), revision, [this](StoreWrite write) {
        m_isAssigning = false;
        m_ports.log.record(EventCode::OwnersAssigned, m_settings.host.text(),
                           "result " + std::to_string(static_cast<int>(write.result)));
        m_coordination.refresh();
    });
}

void ServingNode::beginDrain()
{
    if (m_drainStartedAt.value < 0) {
        m_drainStartedAt = m_ports.clock.now();
        m_ports.log.record(EventCode::NodeDraining, m_settings.host.text(),
                           std::to_string(m_dispatcher.openCount()) + " open requests");
        sendBeats();
    }
}

bool ServingNode::isDrained() const
{
    if (m_drainStartedAt.value < 0) {
        return false;
    }
    const Millis age = m_ports.clock.now() - m_drainStartedAt;
    return (age > drainServing && m_dispatcher.openCount() == 0) || age > m_settings.shutdownGrace - drainEnd;
}

bool ServingNode::isReady() const
{
    const Millis now = m_ports.clock.now();
    if (m_drainStartedAt.value >= 0 || m_admission.config() == nullptr || !m_backendRecords.isLoaded()
        || !m_coordination.isLoaded()) {
        return false;
    }
    if (now - m_configuration.provenAt() < storeSilence) {
        return true;
    }
    // Without a way of its own to the store the host steps back, unless all the others are in the same state.
    return std::none_of(m_members.peers().begin(), m_members.peers().end(), [&](const auto &entry) {
        return m_members.isLive(entry.first, now) && entry.second.beat.reachesStore;
    });
}

std::vector<std::string> ServingNode::callerAddresses() const
{
    return m_members.callerAddresses(isReady(), m_ports.clock.now());
}

}
