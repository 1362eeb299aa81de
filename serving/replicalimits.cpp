#include "serving/replicalimits.h"

#include "cluster/message.h"
#include "cluster/peerlink.h"
#include "core/clock.h"
#include "core/eventlog.h"
#include "core/hash.h"
#include "serving/admission/admission.h"
#include "serving/dispatcher.h"
#include "serving/interfaces/backend.h"
#include "serving/interfaces/servingconfig.h"
#include "serving/interfaces/servingsettings.h"
#include "serving/loadcoordinator.h"
#include "serving/membership/fleetmembers.h"
#include "serving/membership/pollintervals.h"
#include "serving/placement/enginechooser.h"
#include "serving/replicas/backendtable.h"
#include "serving/replicas/residencymap.h"

#include <algorithm>

namespace vanillaspar::serving
{

namespace
{

constexpr Millis reportInterval(220);
// The leader's copy is at most one watch older than its reports, which reach leaf hosts by way of their hub.
constexpr Millis leaderWatchTimeout(400);
constexpr Millis leaderPollInterval(200);
// A copy of a leaf host is usually up to 1,200 ms old: the leader's watch, two reports and two heartbeats.
constexpr Millis refreshAge(1600); // after which a host reads the entries itself
constexpr Millis refreshPause(400);
constexpr Millis coldTrust(2500); // after which it treats replicas as possibly cold
// After this time without a report of a hub, a host reads the evacuations itself.
constexpr Millis reportTimeout(1500);

}

ReplicaLimits::ReplicaLimits(const LimitContext &context)
    : m_context(context)
    , m_startedAt(context.clock.now())
    , m_starts(
          context.settings, context.admission, m_cold,
          [this](const ReplicaId &replica, int64_t count) {
              return isShareHolder(replica, count);
          },
          context.clock.now())
    , m_evacuations(context.store, context.clock, context.random, context.log,
                    [this](const std::set<DomainId> &domains) {
                        onEvacuated(domains);
                    })
{
    m_context.backends.setStartLimit(&m_starts);
    if (m_context.settings.evacuationLimit.value > 0) {
        m_context.backends.setEvacuated(std::nullopt);
    }
}

ReplicaLimits::~ReplicaLimits()
{
    m_context.backends.setStartLimit(nullptr);
}

bool ReplicaLimits::limitsCold() const
{
    const auto &config = m_context.admission.config();
    return m_context.settings.coldOvershoot > 0 && config != nullptr
        && std::any_of(config->pools.begin(), config->pools.end(), [](const auto &entry) {
               return entry.second.coldPerSecond > 0;
           });
}

void ReplicaLimits::onBackend(const Backend &backend)
{
    if (m_context.settings.coldOvershoot <= 0) {
        return;
    }
    Millis left = backend.coldLeft.value_or(Millis(0));
    const auto &config = m_context.admission.config();
    if (!backend.coldLeft && config != nullptr && config->pools.count(backend.pool) > 0) {
        const Millis age = m_context.clock.wallNow() - Millis(backend.residency.incarnation);
        left = config->pools.at(backend.pool).coldStart - age;
    }
    const bool isKnown = m_context.backends.find(backend.id) != nullptr;
    if (m_cold.onEntry(shortHash(backend.id.text()), left, isKnown, m_context.clock.now())) {
        m_hasColdNews = true;
        m_context.log.record(EventCode::ReplicaCold, backend.id.text(),
                             "for " + std::to_string(left.value) + " ms" + (isKnown ? ", after it was in use" : ""));
    }
}

void ReplicaLimits::onMessage(const HostId & /*from*/, const ColdReport &report)
{
    const Millis now = m_context.clock.now();
    for (const ColdReplicaReport &replica : report.replicas) {
        m_hasColdNews = m_cold.onReport(replica, now) || m_hasColdNews;
    }
    if (report.echoedIncarnation == m_context.members.incarnation()) {
        m_coldFreshAsOf
            = std::max(m_coldFreshAsOf, m_context.members.freshAsOf(report.echoedSequence, {0, report.age}));
    }
}

void ReplicaLimits::onMessage(const HostId &from, const ColdPermitRequest &request)
{
    const BackendState *state = m_context.backends.find(request.replica);
    // A host that has just become the owner doesn't know what its last process issued. After a replica has become cold,
    // other hosts may have sent it requests as to a warm one for as long.
    if (state == nullptr || !m_context.loads.hasOwnedFor(request.replica, ColdBudget::permitWindow)
        || m_cold.hasTurnedWithin(state->shortId, ColdBudget::permitWindow, m_context.clock.now())) {
        return;
    }
    if (const std::optional<ColdBudget> budget = m_starts.budgetOf(state->info.pool)) {
        const ColdPermit permit = m_permits.issue(request, *budget, m_context.clock.now());
        if (from == m_context.settings.host) {
            m_starts.onPermit(permit, m_context.clock.now());
        } else {
            sendTo(from, permit);
        }
    }
}

void ReplicaLimits::onMessage(const HostId & /*from*/, const ColdPermit &permit)
{
    m_starts.onPermit(permit, m_context.clock.now());
    m_context.dispatcher.sendWaiting();
}

void ReplicaLimits::onMessage(const HostId & /*from*/, const EvacuationReport &report)
{
    if (m_evacuations.onReport(report) && m_context.members.isHub(m_context.settings.host)) {
        sendEvacuations();
    }
}

void ReplicaLimits::tick()
{
    tickEvacuations();
    if (!limitsCold()) {
        return;
    }
    updateFreshness();
    const Millis now = m_context.clock.now();
    if (m_hasColdNews || now - m_coldReportedAt >= reportInterval) {
        sendColdReports();
    }
    sendPermitRequests();
}

void ReplicaLimits::updateFreshness()
{
    const Millis now = m_context.clock.now();
    RecordMirror &entries = m_context.backendRecords;
    m_coldFreshAsOf = std::max(m_coldFreshAsOf, entries.freshAsOf());
    if (now - m_coldFreshAsOf > refreshAge && now - m_refreshedAt > refreshPause && entries.isLoaded()) {
        m_refreshedAt = now;
        entries.refresh();
    }
    const bool isFresh = m_coldFreshAsOf.value >= 0 && (now - m_coldFreshAsOf <= coldTrust || isStoreOutage(now));
    if (m_wasFresh && !isFresh) {
        m_context.log.record(EventCode::ColdStateUnknown, m_context.settings.host.text(),
                             "proven " + std::to_string((now - m_coldFreshAsOf).value) + " ms ago");
    }
    m_wasFresh = isFresh;
    m_starts.setFresh(isFresh);
}

bool ReplicaLimits::isStoreOutage(Millis now) const
{
    // If a host isn't heard, this one may be on the wrong side of a partition, and the store works on the other.
    const auto &peers = m_context.members.peers();
    return m_context.members.isListed() && !peers.empty()
        && std::all_of(peers.begin(), peers.end(), [&](const auto &entry) {
               return m_context.members.isLive(entry.first, now) && !entry.second.status.reachesStore;
           });
}

void ReplicaLimits::sendColdReports()
{
    const Millis now = m_context.clock.now();
    m_hasColdNews = false;
    m_coldReportedAt = now;
    const FleetMembers &members = m_context.members;
    if (!members.isHub(m_context.settings.host)) {
        return;
    }
    ColdReport report {0, {}, m_coldFreshAsOf.value < 0 ? -1 : (now - m_coldFreshAsOf).value, m_cold.report(now)};
    for (const HostId &host : members.heartbeatTargets(now)) {
        // The targets are those of the last round of heartbeats; a record may have been removed since.
        const auto member = members.peers().find(host);
        if (member != members.peers().end() && member->second.heartbeat.sequence > 0) {
            report.echoedSequence = member->second.heartbeat.sequence;
            report.echoedIncarnation = member->second.heartbeat.incarnation;
            m_context.peers.send(member->second.peerAddress, report);
        }
    }
}

void ReplicaLimits::sendPermitRequests()
{
    for (const ColdPermitRequest &request : m_starts.takeRequests(m_context.clock.now())) {
        const OwnerEntry *owner = m_context.loads.ownerOf(request.replica);
        if (owner != nullptr && owner->host == m_context.settings.host) {
            onMessage(owner->host, request);
        } else if (owner != nullptr) {
            sendTo(owner->host, request);
        }
    }
}

template<class Message>
bool ReplicaLimits::sendTo(const HostId &host, const Message &message)
{
    const auto member = m_context.members.peers().find(host);
    if (member == m_context.members.peers().end()) {
        return false;
    }
    m_context.peers.send(member->second.peerAddress, message);
    return true;
}

bool ReplicaLimits::isShareHolder(const ReplicaId &replica, int64_t count) const
{
    if (!m_context.members.isListed()) {
        return false;
    }
    const uint64_t seed = stableHash(replica.text());
    const uint64_t own = stableHash(m_context.settings.host.text(), seed);
    const auto &peers = m_context.members.peers();
    return std::count_if(peers.begin(), peers.end(),
                         [&](const auto &entry) {
                             return stableHash(entry.first.text(), seed) > own;
                         })
        < count;
}

void ReplicaLimits::tickEvacuations()
{
    if (m_context.settings.evacuationLimit.value <= 0) {
        return;
    }
    const Millis now = m_context.clock.now();
    const FleetMembers &members = m_context.members;
    const bool isHub = members.isListed() && members.isHub(m_context.settings.host);
    m_evacuations.tick(isHub || now - m_evacuations.learnedAt() > reportTimeout);
    if (isHub && now - m_evacuationsSentAt >= reportInterval) {
        sendEvacuations();
    }
}

void ReplicaLimits::sendEvacuations()
{
    const Millis now = m_context.clock.now();
    if (const std::optional<EvacuationReport> report = m_evacuations.report()) {
        m_evacuationsSentAt = now;
        for (const HostId &host : m_context.members.heartbeatTargets(now)) {
            sendTo(host, *report);
        }
    }
}

void ReplicaLimits::onEvacuated(const std::set<DomainId> &domains)
{
    m_context.backends.setEvacuated(domains);
    if (m_context.members.isHub(m_context.settings.host)) {
        sendEvacuations();
    }
    for (const DomainId &domain : domains) {
        moveAdapters(domain);
    }
}

void ReplicaLimits::moveAdapters(const DomainId &domain)
{
    std::vector<AdapterRequest> requests;
    for (const auto &[replica, uses] : m_context.dispatcher.adapterUses()) {
        const BackendState *state = m_context.backends.find(replica);
        if (state == nullptr || state->info.domain != domain) {
            continue;
        }
        for (const auto &[weights, use] : uses) {
            const auto &holders = m_context.residency.holders(weights);
            const bool isHeldElsewhere = std::any_of(holders.begin(), holders.end(), [&](const auto &entry) {
                const BackendState *holder = m_context.backends.find(entry.first);
                return holder != nullptr && holder->isUsable() && !m_context.backends.isEvacuated(holder->info.domain);
            });
            const BackendState *target
                = isHeldElsewhere ? nullptr : m_context.chooser.preferredReplica(weights, state->info.pool);
            if (target != nullptr) {
                requests.push_back({target->info.id, weights, 0, use.running, false});
            }
        }
    }
    m_context.loads.requestAdapters(requests);
}

bool ReplicaLimits::isReady() const
{
    return m_context.settings.evacuationLimit.value <= 0 || m_evacuations.isKnown();
}

MirrorIntervals ReplicaLimits::backendIntervals(const PollIntervals &intervals) const
{
    if (limitsCold() && m_context.members.isLeader(m_context.clock.now())) {
        return {leaderWatchTimeout, leaderPollInterval};
    }
    return {intervals.watchTimeout, intervals.backendPollInterval};
}

void ReplicaLimits::addGauges(std::vector<std::pair<std::string, double>> &gauges) const
{
    gauges.emplace_back("vanillaspar_cold_starts", static_cast<double>(m_starts.startCount()));
    gauges.emplace_back("vanillaspar_cold_permits_issued", static_cast<double>(m_permits.issuedCount()));
    gauges.emplace_back("vanillaspar_evacuated_domains", static_cast<double>(m_evacuations.domains().size()));
}

}
