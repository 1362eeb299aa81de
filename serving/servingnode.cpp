#include "serving/servingnode.h"

#include "cluster/peerlink.h"
#include "core/clock.h"
#include "core/error.h"
#include "core/eventlog.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace vanillaspar::serving
{

namespace
{

constexpr Millis configGap(20);
// Kept between the end of a proof and its use, for a request's way to its replica.
constexpr Millis trustMargin(300);

constexpr Millis beatInterval(100);
constexpr Millis useInterval(200);
constexpr Millis assignInterval(500);
// All hosts of a first start are there by then, so that replicas are shared out evenly at once.
constexpr Millis firstAssignment(2000);
// Entries of replicas that lapsed during an outage are back within two seconds of its end.
constexpr Millis lapseGrace(2200);
// Nobody being answered for so long is an outage: hosts prove the configuration more often, and entries lapse later.
constexpr Millis outageGap(3000);

// Callers follow a new address list within three of its lifetimes.
constexpr Millis drainServing(3500);
// A stream that comes later may not end within the grace; callers have had a new address list by then.
constexpr Millis drainStreams(2800);
constexpr Millis drainRefusing(2500); // before the end of the grace
constexpr Millis drainEnd(400); // before the end of the grace

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
    void operator()(const ResidencyBatch &batch) const
    {
        node.m_loads.onNews(from, batch);
    }
    void operator()(const AdapterAsk &ask) const
    {
        node.m_loads.onAsk(ask);
    }
    void operator()(const AdapterUseBatch &batch) const
    {
        for (const AdapterUseReport &report : batch.reports) {
            node.m_loads.onUse(from, report);
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
                    return m_loads.canOrder(replica);
                })
    , m_requestLog(m_ports.log, m_ports.metrics)
    , m_dispatcher({m_ports.clock, m_ports.callers, m_ports.attempts, m_admission, m_backends, m_residency, m_versions,
                    m_chooser, m_requestLog, m_settings.domain})
    , m_configuration(m_ports.store, Collection::Configuration, {hubPace.configWait, configGap}, m_ports.clock,
                      m_random, m_ports.log,
                      [this](const std::vector<StoredRecord> &records) {
                          onConfiguration(records);
                      })
    , m_backendRecords(m_ports.store, Collection::Backends, {hubPace.longWait, hubPace.backendGap}, m_ports.clock,
                       m_random, m_ports.log,
                       [this](const std::vector<StoredRecord> &records) {
                           onBackends(records);
                       })
    , m_versionRecords(m_ports.store, Collection::AdapterVersions, {hubPace.longWait, hubPace.versionGap},
                       m_ports.clock, m_random, m_ports.log,
                       [this](const std::vector<StoredRecord> &records) {
                           onVersions(records);
                       })
    , m_coordination(m_ports.store, Collection::Coordination, {hubPace.longWait, hubPace.coordinationGap},
                     m_ports.clock, m_random, m_ports.log,
                     [this](const std::vector<StoredRecord> &records) {
                         onCoordination(records);
                     })
    , m_loads({m_settings, m_ports.clock, m_ports.store, m_ports.peers, m_ports.orders, m_ports.log, m_admission,
               m_members, m_backends, m_residency, m_versions, m_coordination})
    , m_beats({m_settings, m_ports.clock, m_ports.peers, m_ports.log, m_members, m_admission, m_backends})
    , m_registry(m_settings, m_ports.clock, m_ports.store, m_ports.log, m_members, m_coordination)
    , m_startedAt(m_ports.clock.now())
{
    setSettings(m_settings);
    m_ports.log.record(EventCode::NodeStarted, m_settings.host.text(), "incarnation " + m_members.incarnation().text());
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
    followTrust();
}

void ServingNode::onBackends(const std::vector<StoredRecord> &records)
{
    const Millis now = m_ports.clock.now();
    followStore();
    for (const StoredRecord &record : records) {
        const ReplicaId id(record.name);
        if (record.isDeleted) {
            const BackendState *known = m_backends.find(id);
            if (now < lapseEnd() && known != nullptr && known->isUsable()) {
                m_lapsed.emplace(id, lapseEnd());
            } else {
                m_backends.remove(id, now);
                m_ports.log.record(EventCode::ReplicaLeaving, id.text(), "its entry was removed");
            }
            continue;
        }
        try {
            Backend backend = m_ports.decoder.backend(record);
            m_lapsed.erase(id);
            const BackendState *known = m_backends.find(id);
            const bool isNew = known == nullptr || known->info.residency.incarnation != backend.residency.incarnation
                || (!known->isUsable() && !backend.isLeaving);
            if (isNew) {
                m_backendsRevision = std::max(m_backendsRevision, record.revision);
            }
            if (backend.isLeaving && (known == nullptr || !known->info.isLeaving)) {
                m_ports.log.record(EventCode::ReplicaLeaving, id.text(), "it says that it leaves");
            }
            m_residency.onDiscovered(backend, now);
            if (m_backends.upsert(std::move(backend), now)) {
                m_ports.log.record(EventCode::ReplicaRestarted, id.text(), "a new life under the same id");
                m_loads.onNewLife(id);
            }
        } catch (const Error &error) {
            // The entry may come from another writer: it names no replica to use.
            m_backends.remove(id, now);
            m_ports.log.record(EventCode::StoreRecordRejected, record.name, error.what());
        }
    }
}

void ServingNode::followStore()
{
    const Millis seen = std::max({m_configuration.answeredAt(), m_backendRecords.answeredAt(),
                                  m_versionRecords.answeredAt(), m_coordination.answeredAt(), m_configProvenAt});
    if (seen <= m_storeSeenAt) {
        return;
    }
    const bool wasAway = m_storeSeenAt.value >= 0 && seen - m_storeSeenAt > outageGap;
    if (wasAway || m_storeUpSince.value < 0) {
        m_storeUpSince = seen;
    }
    m_storeSeenAt = seen;
    if (wasAway && m_members.isHub(m_settings.host)) {
        // Watches that were held when the outage began may never be answered.
        for (RecordMirror *mirror : {&m_configuration, &m_backendRecords, &m_versionRecords, &m_coordination}) {
            mirror->refresh();
        }
    }
}

Millis ServingNode::lapseEnd() const
{
    const Millis recoveredAt = m_backendRecords.recoveredAt();
    // The store may have been back before this host's own call was answered again, or away for this host alone.
    return recoveredAt.value < 0 ? Millis(-1) : std::min(recoveredAt, m_storeUpSince) + lapseGrace;
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
    for (const ReplicaId &replica : m_backends.purgeRemoved(now)) {
        m_residency.remove(replica);
    }
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
            } else if (LoadCoordinator::isOwnersRecord(record.name)) {
                m_loads.onRecord(record);
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
    m_beats.take(from, beat);
    if (beat.configuration.revision > m_configRevision && m_configuration.isLoaded()) {
        m_configuration.refresh();
    } else if (beat.configuration.revision == m_configRevision) {
        m_configProvenAt = std::max(m_configProvenAt, m_members.proofTime(beat, beat.configuration));
    }
    for (const uint32_t shortId : beat.leaving) {
        if (const BackendState *state = m_backends.onLeavingReported(shortId, now)) {
            m_ports.log.record(EventCode::ReplicaLeaving, state->info.id.text(), "told by " + from.text());
        }
    }
    if (beat.backendsRevision > m_backendRecords.asOf() && m_backendRecords.isLoaded()
        && now - m_backendRecords.answeredAt() >= storePace().hintSpacing) {
        m_backendRecords.refresh();
    }
    m_loads.onPeerProof(beat.owners.revision, m_members.proofTime(beat, beat.owners));
}

void ServingNode::followTrust()
{
    const Millis now = m_ports.clock.now();
    m_configProvenAt = std::max(m_configProvenAt, m_configuration.provenAt());
    const Millis trustedUntil = m_configProvenAt + m_settings.revokeLimit - trustMargin;
    m_admission.setKeysTrustedUntil(trustedUntil);
    const bool isTrusted = m_configProvenAt.value >= 0 && now < trustedUntil;
    if (m_wasTrusted && !isTrusted) {
        m_ports.log.record(EventCode::ConfigUnconfirmed, std::to_string(m_configRevision),
                           "proven " + std::to_string((now - m_configProvenAt).value) + " ms ago");
    }
    m_wasTrusted = isTrusted;
    const StorePace &pace = storePace();
    m_configuration.setPace({pace.configWait, configGap});
    m_backendRecords.setPace({pace.longWait, pace.backendGap});
    m_versionRecords.setPace({pace.longWait, pace.versionGap});
    m_coordination.setPace({pace.longWait, pace.coordinationGap});
    if (now - m_configProvenAt > pace.proofRefresh && m_configuration.isLoaded()) {
        m_configuration.refresh();
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
    followStore();
    removeLapsed();
    m_registry.tick();
    if (now - m_beatAt >= beatInterval) {
        m_beatAt = now;
        sendBeats();
    }
    if (now - m_assignAt >= assignInterval) {
        m_assignAt = now;
        if (mayAssignOwners()) {
            m_loads.assignOwners();
            m_registry.removeLost();
        }
    }
    m_dispatcher.tick();
    m_loads.sendAsks(m_dispatcher);
    if (now - m_useAt >= useInterval) {
        m_useAt = now;
        m_loads.sendUses(m_dispatcher);
    }
    m_loads.tick();
    if (m_drainStartedAt.value >= 0 && now - m_drainStartedAt > drainStreams) {
        m_dispatcher.stopAcceptingStreams();
    }
    if (m_drainStartedAt.value >= 0 && now - m_drainStartedAt > m_settings.shutdownGrace - drainRefusing) {
        m_dispatcher.stopAccepting();
    }
}

RecordProof ServingNode::proofOf(int64_t revision, Millis provenAt) const
{
    const Millis now = m_ports.clock.now();
    return {revision, provenAt.value < 0 ? -1 : (now - provenAt).value};
}

const StorePace &ServingNode::storePace() const
{
    const Millis now = m_ports.clock.now();
    if (m_members.isFirst(now)) {
        return firstPace;
    }
    const HostId speaker = m_members.speakerOf(m_settings.host);
    const auto hub = m_members.peers().find(speaker);
    const bool isSpokenFor = speaker != m_settings.host && hub != m_members.peers().end()
        && m_members.isHeard(speaker, now) && hub->second.sign.reachesStore;
    return isSpokenFor ? memberPace : hubPace;
}

bool ServingNode::reachesStore() const
{
    // A proof counts from when a watch was sent, so that it is older than the store's last answer by the watch's wait.
    return m_ports.clock.now() - m_configuration.answeredAt() < storePace().contactLimit;
}

HostBeat ServingNode::makeBeat()
{
    HostBeat beat;
    beat.incarnation = m_members.incarnation();
    beat.isReady = isReady();
    beat.isStopping = m_drainStartedAt.value >= 0;
    beat.reachesStore = m_configuration.isReachable() && reachesStore();
    beat.slowLoads = static_cast<uint16_t>(m_loads.slowLoads());
    beat.modelLoads = static_cast<uint16_t>(m_loads.modelLoads());
    beat.backendsRevision = m_backendsRevision;
    beat.leaving = m_backends.recentlyLeaving(m_ports.clock.now(), m_backendRecords.provenAt());
    beat.configuration = proofOf(m_configRevision, m_configProvenAt);
    beat.owners = proofOf(m_loads.revision(), m_loads.provenAt());
    return beat;
}

void ServingNode::sendBeats()
{
    if (m_coordination.isLoaded()) {
        m_members.setListed();
    }
    m_beats.send(makeBeat());
    // Nine tenths of the bound: what is on its way at a window's edges counts in both.
    constexpr double safety = 0.9;
    m_dispatcher.setRetryLimits(m_settings.retryRatio * safety,
                                m_settings.retryAllowance * safety / static_cast<double>(m_members.hostCount()),
                                m_settings.retryWindow);
}

void ServingNode::onRequest(ClientRequest request)
{
    m_dispatcher.onRequest(std::move(request));
    m_loads.sendAsks(m_dispatcher);
}

bool ServingNode::mayAssignOwners() const
{
    const Millis now = m_ports.clock.now();
    return m_coordination.isLoaded() && m_coordination.isReachable() && m_registry.isRegistered()
        && m_backendRecords.isLoaded() && now - m_startedAt >= firstAssignment && m_drainStartedAt.value < 0
        && m_members.isFirst(now);
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
    if (reachesStore()) {
        return true;
    }
    // Without a way of its own to the store the host steps back, unless all the others are in the same state.
    return std::none_of(m_members.peers().begin(), m_members.peers().end(), [&](const auto &entry) {
        return m_members.isLive(entry.first, now) && entry.second.sign.reachesStore;
    });
}

std::vector<std::pair<std::string, double>> ServingNode::gauges() const
{
    const Millis now = m_ports.clock.now();
    const auto ageOf = [now](Millis provenAt) {
        return provenAt.value < 0 ? -1 : toSeconds(now - provenAt);
    };
    return {{"vanillaspar_open_requests", static_cast<double>(m_dispatcher.openCount())},
            {"vanillaspar_waiting_requests", static_cast<double>(m_dispatcher.waitingCount())},
            {"vanillaspar_configuration_revision", static_cast<double>(m_configRevision)},
            {"vanillaspar_configuration_proof_age_seconds", ageOf(m_configProvenAt)},
            {"vanillaspar_owners_proof_age_seconds", ageOf(m_loads.provenAt())},
            {"vanillaspar_adapter_loads", static_cast<double>(m_loads.slowLoads())},
            {"vanillaspar_model_loads", static_cast<double>(m_loads.modelLoads())},
            {"vanillaspar_listed_hosts", static_cast<double>(callerAddresses(m_settings.domain).size())},
            {"vanillaspar_ready", isReady() ? 1.0 : 0.0}};
}

std::vector<std::string> ServingNode::callerAddresses(const DomainId &domain) const
{
    return m_members.callerAddresses(domain, isReady(), m_ports.clock.now());
}

}
