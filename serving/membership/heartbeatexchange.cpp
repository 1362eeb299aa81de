#include "serving/membership/heartbeatexchange.h"

#include "cluster/message.h"
#include "cluster/peerlink.h"
#include "core/clock.h"
#include "core/eventlog.h"
#include "core/hash.h"
#include "policy/fleetquota.h"
#include "serving/admission/admission.h"
#include "serving/interfaces/servingsettings.h"
#include "serving/membership/fleetmembers.h"
#include "serving/replicas/backendtable.h"

#include <optional>
#include <set>

namespace vanillaspar::serving
{

namespace
{

// Hubs and leaf hosts send each other heartbeats only in every second round.
constexpr uint64_t leafHeartbeatRounds = 2;
// After this long without a heartbeat of the relaying hub, another hub may become the relay.
constexpr Millis relayTimeout(700);
// A hub sends to its leaf hosts every 200 ms; one lost heartbeat is tolerated.
constexpr Millis relaySilenceLimit(450);
// Average delay of a leaf host's report: 100 ms to its hub, 50 ms to another hub and 100 ms to that hub's leaf hosts.
constexpr Millis relayLag(300);
constexpr Millis directLag(50); // half of the interval between two heartbeats of a hub
// A hub sends to other hubs every 100 ms; one or two lost heartbeats are tolerated.
constexpr Millis hubSilenceLimit(300);

}

HeartbeatExchange::HeartbeatExchange(const HeartbeatContext &context) : m_context(context)
{
}

HeartbeatScope HeartbeatExchange::scopeFor(const HostId &receiver) const
{
    const FleetMembers &members = m_context.members;
    const HostId &self = m_context.settings.host;
    if (!members.isHub(self) || members.isHub(receiver)) {
        return HeartbeatScope::SenderAndLeaves;
    }
    return members.hubOf(receiver) == self ? HeartbeatScope::AllButReceiver : HeartbeatScope::None;
}

void HeartbeatExchange::send(HostHeartbeat own)
{
    const Millis now = m_context.clock.now();
    FleetMembers &members = m_context.members;
    own.sequence = members.beginRound(own.isStopping, now);
    const bool isOwnHub = members.isHub(m_context.settings.host);
    HostHeartbeat aggregate = own;
    addOwnAndLeafHosts(aggregate);
    for (const HostId &host : members.heartbeatTargets(now)) {
        const bool isBetweenHubs = isOwnHub && members.isHub(host);
        if (!isBetweenHubs && own.sequence % leafHeartbeatRounds != 0) {
            continue;
        }
        const FleetMember &member = members.peers().at(host);
        const HeartbeatScope scope = scopeFor(host);
        HostHeartbeat heartbeat = scope == HeartbeatScope::SenderAndLeaves ? aggregate : own;
        heartbeat.scope = scope;
        heartbeat.echoedSequence = member.heartbeat.sequence;
        heartbeat.echoedIncarnation = member.heartbeat.incarnation;
        if (scope == HeartbeatScope::AllButReceiver) {
            addAllButReceiver(heartbeat, host);
        }
        m_context.peers.send(member.peerAddress, heartbeat);
    }
    updateReachability();
}

void HeartbeatExchange::addOwnAndLeafHosts(HostHeartbeat &heartbeat) const
{
    const std::set<HostId> leafHosts = m_context.members.leafHosts(m_context.clock.now());
    heartbeat.uses = m_context.backends.ownUseIncluding(leafHosts);
    addTeams(heartbeat, HostId());
    for (const HostId &host : leafHosts) {
        heartbeat.relayedHosts.push_back(m_context.members.peers().at(host).status);
    }
}

void HeartbeatExchange::addAllButReceiver(HostHeartbeat &heartbeat, const HostId &receiver) const
{
    const Millis now = m_context.clock.now();
    heartbeat.uses = m_context.backends.totalUseExcluding(receiver);
    addTeams(heartbeat, receiver);
    for (const auto &[host, member] : m_context.members.peers()) {
        if (host != receiver && m_context.members.isLive(host, now)) {
            heartbeat.relayedHosts.push_back(member.status);
        }
    }
}

void HeartbeatExchange::addTeams(HostHeartbeat &heartbeat, const HostId &receiver) const
{
    const Millis now = m_context.clock.now();
    for (auto &[team, quota] : m_context.admission.quotas()) {
        if (!quota.isLimited()) {
            continue;
        }
        TeamUse use;
        use.team = shortHash(team.text());
        use.admitted = receiver.isEmpty() ? quota.admitted() : quota.admittedExcept(receiver);
        use.recentlyAdmitted = receiver.isEmpty() ? quota.recentlyAdmitted(now) : 0;
        use.level = static_cast<int64_t>(quota.level(now));
        use.isLevelKnown = quota.isLevelKnown(now);
        const std::optional<int64_t> counted = quota.lastReportedCount(receiver);
        use.isReceiverIncluded = counted.has_value();
        use.receiverAdmitted = counted.value_or(0);
        heartbeat.teams.push_back(use);
    }
}

template<class Action>
void HeartbeatExchange::forEachTeam(const HostHeartbeat &heartbeat, Action action)
{
    for (auto &[team, quota] : m_context.admission.quotas()) {
        const uint32_t name = shortHash(team.text());
        for (const TeamUse &use : heartbeat.teams) {
            if (use.team == name) {
                action(quota, use);
            }
        }
    }
}

void HeartbeatExchange::receive(const HostId &from, const HostHeartbeat &heartbeat)
{
    const Millis now = m_context.clock.now();
    const FleetMembers &members = m_context.members;
    // A host that has just started considers itself its domain's hub until heartbeats of the others arrive.
    if (heartbeat.scope == HeartbeatScope::AllButReceiver && members.isHub(from)
        && !members.isHub(m_context.settings.host)) {
        if (m_relay != from) {
            for (const auto &[host, member] : members.peers()) {
                discardReport(host);
            }
            m_relay = from;
        }
        m_relayHeardAt = now;
        applyReport(from, heartbeat, false);
        adoptLevels(heartbeat);
        return;
    }
    if (!m_relay.isEmpty() && now - m_relayHeardAt > relayTimeout) {
        discardReport(m_relay);
        emptyTokenBuckets();
        m_relay = HostId();
    }
    const bool isHub = members.isHub(from);
    const bool isOwnLeafHost = !isHub && members.hubOf(from) == m_context.settings.host;
    if (heartbeat.scope == HeartbeatScope::SenderAndLeaves && m_relay.isEmpty() && (isHub || isOwnLeafHost)) {
        applyReport(from, heartbeat, isOwnLeafHost);
    } else if (from != m_relay) {
        m_context.backends.setPeerUse(from, {});
        trackCounts(from, heartbeat);
    }
}

void HeartbeatExchange::trackCounts(const HostId &from, const HostHeartbeat &heartbeat)
{
    const FleetMembers &members = m_context.members;
    const auto hub = members.peers().find(members.hubOf(from));
    const bool mayBecomeItsHub
        = heartbeat.scope == HeartbeatScope::SenderAndLeaves && members.isHub(m_context.settings.host);
    // If this host replaces a failed hub, what the leaf host admits after that hub's last heartbeat must be counted. So
    // the baseline stops moving once the hub is silent.
    if (!mayBecomeItsHub || hub == members.peers().end()
        || m_context.clock.now() - hub->second.heardDirectlyAt > hubSilenceLimit) {
        return;
    }
    forEachTeam(heartbeat, [&](FleetQuota &quota, const TeamUse &use) {
        quota.setReportedCount(from, heartbeat.incarnation.text(), use.admitted);
    });
}

void HeartbeatExchange::emptyTokenBuckets()
{
    for (auto &[team, quota] : m_context.admission.quotas()) {
        quota.emptyBucket(m_context.clock.now());
    }
}

void HeartbeatExchange::applyReport(const HostId &from, const HostHeartbeat &heartbeat, bool isOwnLeafHost)
{
    const Millis now = m_context.clock.now();
    m_context.backends.setPeerUse(from, heartbeat.uses);
    const bool mayLearnLevel = heartbeat.scope == HeartbeatScope::SenderAndLeaves && m_context.members.isHub(from);
    forEachTeam(heartbeat, [&](FleetQuota &quota, const TeamUse &use) {
        quota.onReport(from, heartbeat.incarnation.text(), use.admitted, now, isOwnLeafHost, use.recentlyAdmitted);
        if (mayLearnLevel && use.isLevelKnown) {
            quota.adoptInitialLevel(static_cast<double>(use.level), now);
            quota.onPeerLevel(from, static_cast<double>(use.level), now);
        }
    });
}

void HeartbeatExchange::adoptLevels(const HostHeartbeat &heartbeat)
{
    const Millis now = m_context.clock.now();
    // Counters of an earlier incarnation of this host say nothing about the present one.
    const bool isThisIncarnation = heartbeat.echoedIncarnation == m_context.members.incarnation();
    forEachTeam(heartbeat, [&](FleetQuota &quota, const TeamUse &use) {
        const bool isCounted = use.isReceiverIncluded && isThisIncarnation;
        quota.adoptLevel(static_cast<double>(use.level),
                         isCounted ? std::optional<int64_t>(use.receiverAdmitted) : std::nullopt, now);
    });
}

void HeartbeatExchange::discardReport(const HostId &host)
{
    m_context.backends.setPeerUse(host, {});
    for (auto &[team, quota] : m_context.admission.quotas()) {
        quota.forgetReportedCount(host);
    }
}

void HeartbeatExchange::updateReachability()
{
    const Millis now = m_context.clock.now();
    const FleetMembers &members = m_context.members;
    int64_t silent = 0;
    std::set<HostId> live {m_context.settings.host};
    for (const auto &[host, member] : members.peers()) {
        if (members.isLive(host, now)) {
            live.insert(host);
        } else {
            ++silent;
            m_context.backends.setPeerUse(host, {});
        }
    }
    const bool hasLeafHosts = members.hubs().size() < static_cast<size_t>(members.hostCount() - silent);
    const Millis lag = hasLeafHosts ? relayLag : Millis(0);
    const bool usesRelay = !m_relay.isEmpty();
    m_context.backends.setReportAge(usesRelay ? relayLag : directLag);
    // A host that learns of all others through one hub knows nothing about them while that hub is silent.
    const bool isRelaySilent = usesRelay && now - m_relayHeardAt > relaySilenceLimit;
    if (members.isListed()) {
        const int64_t hosts = members.hostCount();
        m_context.admission.setQuotaHosts(hosts, isRelaySilent ? hosts - 1 : silent, lag, usesRelay, now);
    }
    logHostChanges(std::move(live));
}

void HeartbeatExchange::logHostChanges(std::set<HostId> live)
{
    if (live == m_loggedLiveHosts) {
        return;
    }
    std::string changes;
    for (const HostId &host : live) {
        changes += m_loggedLiveHosts.count(host) > 0 ? "" : " +" + host.text();
    }
    for (const HostId &host : m_loggedLiveHosts) {
        changes += live.count(host) > 0 ? "" : " -" + host.text();
    }
    m_context.log.record(EventCode::HostListChanged, m_context.settings.host.text(),
                         std::to_string(live.size()) + " live:" + changes);
    m_loggedLiveHosts = std::move(live);
}

}
