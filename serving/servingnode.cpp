#include "serving/servingnode.h"

#include "cluster/peerlink.h"
#include "core/clock.h"
#include "core/error.h"
#include "core/eventlog.h"
#include "serving/interfaces/responsewriter.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace vanillaspar::serving
{

namespace
{

constexpr Millis configPollInterval(20);
// Subtracted from the time for which a configuration may be used, for a request's way to its replica.
constexpr Millis trustMargin(300);

constexpr Millis heartbeatInterval(100);
constexpr Millis adapterUseInterval(200);
constexpr Millis probingTurn(4000); // of one host, for a restricted part of prompts
constexpr Millis assignInterval(500);
// When a whole fleet starts, all its hosts are known by then, so that replicas are distributed evenly at once.
constexpr Millis firstAssignmentDelay(2000);

// Callers apply a changed address list within three times its validity; this host accepts requests until then.
constexpr Millis drainServingTime(3500);
// Before the end of the shutdown grace, the drain is over even if requests are open.
constexpr Millis drainEndLead(400);

Incarnation drawIncarnation(Random &random)
{
    return Incarnation(std::to_string(random.next()));
}

}

ServingNode::ServingNode(ServingSettings settings, ServingPorts ports, uint64_t seed)
    : m_settings(std::move(settings))
    , m_ports(std::move(ports))
    , m_random(seed)
    , m_admission(m_random)
    , m_members(m_settings, drawIncarnation(m_random))
    , m_chooser(
          m_backends, m_residency, m_versions, m_settings.domain,
          [this](const ReplicaId &replica) {
              return m_loads.canOrder(replica);
          },
          m_random)
    , m_notices(m_ports.clock, m_backends, m_ports.log, m_ports.metrics)
    , m_prompts(m_ports.clock, m_backends, m_ports.log, m_random)
    , m_requestLog(m_ports.log, m_ports.metrics)
    , m_dispatcher({m_ports.clock, m_ports.callers, m_ports.attempts, m_admission, m_backends, m_residency, m_versions,
                    m_chooser, m_prompts, m_requestLog, m_settings.domain, &m_latencies, &m_random})
    , m_relay(m_settings, m_ports.clock, m_ports.store, m_ports.peers, m_ports.log, m_members)
    , m_configuration(m_relay.store(), Collection::Configuration, {hubPolling.configWatchTimeout, configPollInterval},
                      m_ports.clock, m_random, m_ports.log,
                      [this](const std::vector<StoredRecord> &records) {
                          onConfiguration(records);
                      })
    , m_backendRecords(m_relay.store(), Collection::Backends, {hubPolling.watchTimeout, hubPolling.backendPollInterval},
                       m_ports.clock, m_random, m_ports.log,
                       [this](const std::vector<StoredRecord> &records) {
                           onBackends(records);
                       })
    , m_versionRecords(m_relay.store(), m_ports.decoder, m_ports.clock, m_random, m_ports.log, m_versions, m_residency)
    , m_coordination(m_relay.store(), Collection::Coordination,
                     {hubPolling.watchTimeout, hubPolling.coordinationPollInterval}, m_ports.clock, m_random,
                     m_ports.log,
                     [this](const std::vector<StoredRecord> &records) {
                         onCoordination(records);
                     })
    , m_loads({m_settings, m_ports.clock, m_ports.store, m_ports.peers, m_ports.orders, m_ports.log, m_admission,
               m_members, m_backends, m_residency, m_versions, m_coordination})
    , m_heartbeats({m_settings, m_ports.clock, m_ports.peers, m_ports.log, m_members, m_admission, m_backends})
    , m_demands({m_settings, m_ports.clock, m_ports.peers, m_ports.log, m_members, m_dispatcher.overload()})
    , m_promptRecords(m_ports.clock, m_ports.store, m_ports.log, m_prompts, m_coordination)
    , m_registry(m_settings, m_ports.clock, m_ports.store, m_ports.log, m_members, m_coordination,
                 [this] {
                     m_heartbeats.emptyTokenBuckets(); // the others have used this host's share meanwhile
                 })
    , m_limits({m_settings, m_ports.clock, m_ports.store, m_ports.peers, m_ports.log, m_random, m_admission, m_members,
                m_backends, m_residency, m_chooser, m_backendRecords, m_loads, m_dispatcher})
    , m_startedAt(m_ports.clock.now())
{
    m_chooser.setLatencies(m_latencies);
    m_prompts.setReports(&m_ports.orders);
    m_prompts.setProber([this](const PromptPartId &part) {
        return isProber(part);
    });
    setSettings(m_settings);
    m_relay.setMirrors({{Collection::Configuration, &m_configuration},
                        {Collection::Backends, &m_backendRecords},
                        {Collection::AdapterVersions, &m_versionRecords.mirror()},
                        {Collection::Coordination, &m_coordination}});
    m_ports.log.record(EventCode::NodeStarted, m_settings.host.text(), "incarnation " + m_members.incarnation().text());
}

ServingNode::~ServingNode() = default;

void ServingNode::setSettings(const ServingSettings &settings)
{
    m_settings = settings;
    m_versions.setLimit(m_settings.versionLimit);
    m_chooser.setLoadsWhereSlotsAreFree(m_settings.features.adapterPlacement);
}

void ServingNode::onConfiguration(const std::vector<StoredRecord> &records)
{
    for (const StoredRecord &record : records) {
        if (record.isDeleted) {
            continue; // a configuration is replaced, never removed
        }
        try {
            const std::shared_ptr<const ServingConfig> config = m_ports.decoder.configuration(record);
            if (config == nullptr || !m_config.admit(record, config->version, m_ports.clock.now(), m_ports.log)) {
                continue;
            }
            m_admission.setConfig(config, m_ports.clock.now());
            m_ports.onLimits(config->limits);
            m_ports.log.record(EventCode::ConfigInForce, std::to_string(config->version.value),
                               "revision " + record.position.text() + ", " + std::to_string(config->routes.size())
                                   + " routes");
        } catch (const Error &error) {
            m_ports.log.record(EventCode::ConfigRejected, record.name, error.what());
        }
    }
    updateConfigTrust();
}

void ServingNode::onBackends(const std::vector<StoredRecord> &records)
{
    const Millis now = m_ports.clock.now();
    updateStoreAvailability();
    for (const StoredRecord &record : records) {
        const ReplicaId id(record.name);
        if (record.isDeleted) {
            const BackendState *known = m_backends.find(id);
            // Replicas also write entries that a restore of the store lost again.
            const Millis graceEnd = record.isRestored ? StoreAvailability::restoreGraceEnd(now)
                                                      : m_availability.expiryGraceEnd(m_backendRecords.recoveredAt());
            if (now < graceEnd && known != nullptr && known->isUsable()) {
                m_expiredEntries.add(id, graceEnd);
            } else {
                m_backends.remove(id, now);
                m_ports.log.record(EventCode::ReplicaLeaving, id.text(), "its entry was removed");
            }
            continue;
        }
        try {
            Backend backend = m_ports.decoder.backend(record);
            m_expiredEntries.remove(id);
            const BackendState *known = m_backends.find(id);
            // An entry that was restored may be from before the replica began to leave.
            backend.isLeaving |= record.position.era > 0 && known != nullptr && known->info.isLeaving
                && known->info.residency.incarnation == backend.residency.incarnation;
            const bool isNew = known == nullptr || known->info.residency.incarnation != backend.residency.incarnation
                || (!known->isUsable() && !known->hasSaidLeaving && !backend.isLeaving);
            if (isNew) {
                m_backendsPosition = std::max(m_backendsPosition, record.position);
            }
            if (backend.isLeaving && (known == nullptr || !known->info.isLeaving)) {
                m_ports.log.record(EventCode::ReplicaLeaving, id.text(), "its entry is marked as leaving");
            }
            m_limits.onBackend(backend);
            m_residency.onDiscovered(backend, now);
            if (m_backends.upsert(std::move(backend), now)) {
                m_ports.log.record(EventCode::ReplicaRestarted, id.text(), "a new incarnation under the same id");
                m_loads.onNewIncarnation(id);
            }
        } catch (const Error &error) {
            // The entry may have another writer; the replica can't be used without a valid one.
            m_backends.remove(id, now);
            m_ports.log.record(EventCode::StoreRecordRejected, record.name, error.what());
        }
    }
}

void ServingNode::updateStoreAvailability()
{
    Millis answeredAt = m_config.freshAsOf();
    for (const RecordMirror *mirror : mirrors()) {
        answeredAt = std::max(answeredAt, mirror->answeredAt());
    }
    if (m_availability.update(answeredAt) && m_members.isHub(m_settings.host)) {
        // Watches that were open when the outage began may never be answered.
        for (RecordMirror *mirror : mirrors()) {
            mirror->refresh();
        }
    }
}

void ServingNode::removeExpiredEntries()
{
    const Millis now = m_ports.clock.now();
    for (const ReplicaId &replica : m_expiredEntries.takeDue(now)) {
        m_backends.remove(replica, now);
        m_ports.log.record(EventCode::ReplicaLeaving, replica.text(), "its entry expired in a store outage");
    }
    for (const ReplicaId &replica : m_backends.purgeRemoved(now)) {
        m_residency.remove(replica);
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
            } else if (BlockedParts::isRecord(record.name)) {
                m_promptRecords.onRecord(record);
            }
        } catch (const Error &error) {
            m_ports.log.record(EventCode::StoreRecordRejected, record.name, error.what());
        }
    }
}

void ServingNode::onHeartbeat(const HostId &from, const HostHeartbeat &heartbeat)
{
    const Millis now = m_ports.clock.now();
    if (!m_members.onHeartbeat(from, heartbeat, now)) {
        return;
    }
    m_heartbeats.receive(from, heartbeat);
    const Millis configFreshAsOf = m_members.freshAsOf(heartbeat, heartbeat.configuration);
    m_config.onPeerCopy({{0, heartbeat.configuration.revision}, configFreshAsOf}, m_configuration, now);
    for (const uint32_t shortId : heartbeat.leaving) {
        if (const BackendState *state = m_backends.onLeavingReported(shortId, now)) {
            m_ports.log.record(EventCode::ReplicaLeaving, state->info.id.text(), "told by " + from.text());
        }
    }
    onPeerBackends({0, heartbeat.backendsRevision});
    m_loads.onPeerFreshness({0, heartbeat.owners.revision}, m_members.freshAsOf(heartbeat, heartbeat.owners));
}

void ServingNode::onPeerBackends(StorePosition position)
{
    if (position > m_backendRecords.position() && m_backendRecords.isLoaded()
        && m_ports.clock.now() - m_backendRecords.answeredAt() >= pollIntervals().hintedPollInterval) {
        m_backendRecords.refresh();
    }
}

void ServingNode::onStoreProof(const StoreProof &proof)
{
    if (proof.echoedIncarnation != m_members.incarnation()) {
        return;
    }
    const CopyStates copies = StoreProofs::decode(proof, m_members);
    m_config.onPeerCopy(copies.configuration, m_configuration, m_ports.clock.now());
    m_config.onPeerVersion(copies.configuration.position, copies.configurationVersion, m_ports.clock.now());
    onPeerBackends(copies.backends);
    m_loads.onPeerFreshness(copies.owners.position, copies.owners.freshAsOf);
    m_versionRecords.onProof(copies.versions);
}

void ServingNode::updateConfigTrust()
{
    const Millis now = m_ports.clock.now();
    m_config.onOwnCopy(m_configuration.freshAsOf(), now);
    const bool isOutdated = m_config.isOutdated(now);
    const Millis trustedUntil = isOutdated ? Millis(-1) : m_config.freshAsOf() + m_settings.revokeLimit - trustMargin;
    m_admission.setKeysTrustedUntil(trustedUntil);
    const bool isTrusted = m_config.freshAsOf().value >= 0 && now < trustedUntil;
    if (m_wasTrusted && !isTrusted) {
        m_ports.log.record(EventCode::ConfigUnconfirmed, m_config.position().text(),
                           isOutdated ? "peers use a newer one"
                                      : "proven " + std::to_string((now - m_config.freshAsOf()).value) + " ms ago");
    }
    m_wasTrusted = isTrusted;
    const PollIntervals &intervals = pollIntervals();
    m_configuration.setIntervals({intervals.configWatchTimeout, configPollInterval});
    m_backendRecords.setIntervals(m_limits.backendIntervals(intervals));
    m_versionRecords.setIntervals(intervals, m_members.isLeader(now));
    m_coordination.setIntervals({intervals.watchTimeout, intervals.coordinationPollInterval});
    if (now - m_config.freshAsOf() > intervals.configRefreshAge && m_configuration.isLoaded()) {
        m_configuration.refresh();
    }
}

void ServingNode::tick()
{
    const Millis now = m_ports.clock.now();
    m_relay.tick();
    m_configuration.tick();
    m_backendRecords.tick();
    m_versionRecords.tick();
    m_coordination.tick();
    StoreProofs::alignEras(mirrors());
    updateConfigTrust();
    updateStoreAvailability();
    removeExpiredEntries();
    m_limits.tick();
    m_residency.tick(now);
    m_registry.tick();
    if (now - m_heartbeatSentAt >= heartbeatInterval) {
        m_heartbeatSentAt = now;
        sendHeartbeats();
    }
    if (now - m_ownersAssignedAt >= assignInterval) {
        m_ownersAssignedAt = now;
        if (mayAssignOwners()) {
            m_loads.assignOwners();
            m_registry.removeLostHost();
            m_promptRecords.update();
        }
    }
    m_dispatcher.tick();
    m_loads.sendAdapterRequests(m_dispatcher);
    if (now - m_adapterUseSentAt >= adapterUseInterval) {
        m_adapterUseSentAt = now;
        m_loads.sendUseReports(m_dispatcher);
    }
    m_loads.tick();
}

bool ServingNode::reachesStore() const
{
    // The time of the last answer counts, not the copy's freshness: that dates from when the watch was sent, and so is
    // older by the time for which the store held the watch.
    return m_ports.clock.now() - m_relay.contactAt(m_configuration.answeredAt()) < pollIntervals().contactTimeout;
}

HostHeartbeat ServingNode::makeOwnHeartbeat()
{
    HostHeartbeat heartbeat;
    heartbeat.incarnation = m_members.incarnation();
    heartbeat.isReady = isReady();
    heartbeat.isStopping = m_drainStartedAt.value >= 0;
    heartbeat.reachesStore = m_configuration.isReachable() && reachesStore();
    heartbeat.adapterLoads = static_cast<uint16_t>(m_loads.adapterLoads());
    heartbeat.modelLoads = static_cast<uint16_t>(m_loads.modelLoads());
    const Millis now = m_ports.clock.now();
    const CopyStates copies = copyStates();
    heartbeat.backendsRevision = StoreProofs::withoutEra({copies.backends, Millis(-1)}, now).revision;
    heartbeat.leaving = m_backends.recentlyLeaving(now, m_backendRecords.freshAsOf());
    heartbeat.configuration = StoreProofs::withoutEra(copies.configuration, now);
    heartbeat.owners = StoreProofs::withoutEra(copies.owners, now);
    return heartbeat;
}

void ServingNode::sendHeartbeats()
{
    if (m_coordination.isLoaded()) {
        m_members.setListed();
    }
    m_heartbeats.send(makeOwnHeartbeat());
    m_latencyExchange.send();
    m_demands.send();
    m_versionRecords.sendProofs(m_members, m_ports.peers);
    m_storeProofs.send(copyStates(), m_members, m_ports.peers, m_ports.clock.now());
    const PromptReport report = m_prompts.takeReport();
    if (!report.isEmpty()) {
        m_ports.peers.sendAll(m_members.heartbeatAddresses(m_ports.clock.now()), report);
    }
    // Until all hosts are known, this one may be one of many.
    const double allowance = m_members.isListed() ? m_settings.retryAllowance : 0;
    const RetryLimits limits {m_settings.retryRatio, allowance, m_settings.retryWindow};
    m_dispatcher.setRetryLimits(limits.shareOf(m_members.hostCount()));
}

void ServingNode::onRequest(ClientRequest request)
{
    m_dispatcher.onRequest(std::move(request));
    m_loads.sendAdapterRequests(m_dispatcher);
}

bool ServingNode::mayAssignOwners() const
{
    const Millis now = m_ports.clock.now();
    return m_coordination.isLoaded() && m_coordination.isReachable() && m_registry.isRegistered()
        && m_backendRecords.isLoaded() && now - m_startedAt >= firstAssignmentDelay && m_drainStartedAt.value < 0
        && m_members.isLeader(now);
}

void ServingNode::beginDrain()
{
    if (m_drainStartedAt.value < 0) {
        m_drainStartedAt = m_ports.clock.now();
        m_dispatcher.beginStop(m_settings.shutdownGrace);
        m_ports.log.record(EventCode::NodeDraining, m_settings.host.text(),
                           std::to_string(m_dispatcher.openCount()) + " open requests");
        sendHeartbeats();
    }
}

bool ServingNode::isDrained() const
{
    if (m_drainStartedAt.value < 0) {
        return false;
    }
    const Millis age = m_ports.clock.now() - m_drainStartedAt;
    const bool isQuiet = m_dispatcher.openCount() == 0 && m_ports.callers.isQuiet();
    return (age > drainServingTime && isQuiet) || age > m_settings.shutdownGrace - drainEndLead;
}

size_t ServingNode::reportUnanswered()
{
    m_requestLog.onUnanswered(m_dispatcher.requests(), m_ports.clock.now());
    return m_dispatcher.openCount();
}

bool ServingNode::isReady() const
{
    const Millis now = m_ports.clock.now();
    if (m_drainStartedAt.value >= 0 || m_admission.config() == nullptr || !m_backendRecords.isLoaded()
        || !m_coordination.isLoaded() || m_config.isOutdated(now) || !m_limits.isReady()) {
        return false;
    }
    if (reachesStore()) {
        return true;
    }
    // A host that doesn't reach the store isn't ready, unless no other live host reaches it either.
    return std::none_of(m_members.peers().begin(), m_members.peers().end(), [&](const auto &entry) {
        return m_members.isLive(entry.first, now) && entry.second.status.reachesStore;
    });
}

bool ServingNode::isProber(const PromptPartId &part) const
{
    // In turn, as a host may get no request with the part. Clocks that differ cost a probe more.
    const int64_t turn = m_ports.clock.wallNow().value / probingTurn.value;
    return isReady() && m_members.isListed()
        && m_members.isSelected(part.text() + "/" + std::to_string(turn), m_ports.clock.now());
}

std::vector<std::pair<std::string, double>> ServingNode::gauges() const
{
    const Millis now = m_ports.clock.now();
    const auto ageOf = [now](Millis freshAsOf) {
        return freshAsOf.value < 0 ? -1 : toSeconds(now - freshAsOf);
    };
    std::vector<std::pair<std::string, double>> gauges {
        {"vanillaspar_open_requests", static_cast<double>(m_dispatcher.openCount())},
        {"vanillaspar_waiting_requests", static_cast<double>(m_dispatcher.waitingCount())},
        {"vanillaspar_configuration_revision", static_cast<double>(m_config.position().revision)},
        {"vanillaspar_store_era", static_cast<double>(m_config.position().era)},
        {"vanillaspar_configuration_proof_age_seconds", ageOf(m_config.freshAsOf())},
        {"vanillaspar_owners_proof_age_seconds", ageOf(m_loads.freshAsOf())},
        {"vanillaspar_adapter_loads", static_cast<double>(m_loads.adapterLoads())},
        {"vanillaspar_model_loads", static_cast<double>(m_loads.modelLoads())},
        {"vanillaspar_listed_hosts", static_cast<double>(callerAddresses(m_settings.domain).size())},
        {"vanillaspar_suspect_prompt_parts", static_cast<double>(m_prompts.suspectCount())},
        {"vanillaspar_restricted_prompt_parts", static_cast<double>(m_prompts.restrictedCount())},
        {"vanillaspar_blocked_prompt_parts", static_cast<double>(m_prompts.blocked().parts().size())},
        {"vanillaspar_slow_replicas", m_latencyExchange.slowCount()},
        {"vanillaspar_overload_refusals", static_cast<double>(m_demands.counts().refused)},
        {"vanillaspar_overload_holds", static_cast<double>(m_demands.counts().held)},
        {"vanillaspar_overload_owed", static_cast<double>(m_demands.counts().owed)},
        {"vanillaspar_ready", isReady() ? 1.0 : 0.0}};
    m_limits.addGauges(gauges);
    m_relay.addGauges(gauges);
    return gauges;
}

std::vector<std::string> ServingNode::callerAddresses(const DomainId &domain) const
{
    return m_members.callerAddresses(domain, isReady(), m_ports.clock.now());
}
}
