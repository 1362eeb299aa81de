#include "serving/beatexchange.h"

#include "cluster/message.h"
#include "cluster/peerlink.h"
#include "core/clock.h"
#include "core/eventlog.h"
#include "core/hash.h"
#include "policy/fleetquota.h"
#include "serving/admission.h"
#include "serving/backendtable.h"
#include "serving/fleetmembers.h"
#include "serving/servingsettings.h"

#include <optional>
#include <set>

namespace vanillaspar::serving
{

namespace
{

// Beats between a hub and a host that is none go out in every second round.
constexpr uint64_t memberRounds = 2;
// Without beats of the hub for so long, another one will tell of all hosts.
constexpr Millis sourceLimit(700);
// A hub's beats to its hosts come every 200 ms; one may be lost.
constexpr Millis sourcePause(450);
// From a host to its hub, to another hub and to that one's hosts: 100 ms, 50 ms and 100 ms on average.
constexpr Millis hubLag(300);
// A hub that speaks for hosts sends a beat every 100 ms; one or two may be lost.
constexpr Millis speakerPause(300);

}

BeatExchange::BeatExchange(const BeatContext &context) : m_context(context)
{
}

BeatScope BeatExchange::scopeFor(const HostId &receiver) const
{
    const FleetMembers &members = m_context.members;
    const HostId &self = m_context.settings.host;
    if (!members.isHub(self) || members.isHub(receiver)) {
        return BeatScope::Sender;
    }
    return members.speakerOf(receiver) == self ? BeatScope::AllOthers : BeatScope::Nobody;
}

void BeatExchange::send(HostBeat own)
{
    const Millis now = m_context.clock.now();
    FleetMembers &members = m_context.members;
    own.sequence = members.beginRound(own.isStopping, now);
    const bool isOwnHub = members.isHub(m_context.settings.host);
    HostBeat ofOwn = own;
    addOwn(ofOwn);
    for (const HostId &host : members.beatTargets(now)) {
        const bool isBetweenHubs = isOwnHub && members.isHub(host);
        if (!isBetweenHubs && own.sequence % memberRounds != 0) {
            continue;
        }
        const FleetMember &member = members.peers().at(host);
        const BeatScope scope = scopeFor(host);
        HostBeat beat = scope == BeatScope::Sender ? ofOwn : own;
        beat.scope = scope;
        beat.echoed = member.beat.sequence;
        beat.echoedLife = member.beat.incarnation;
        if (scope == BeatScope::AllOthers) {
            addAllOthers(beat, host);
        }
        m_context.peers.send(member.peerAddress, beat);
    }
    followSilence();
}

void BeatExchange::addOwn(HostBeat &beat) const
{
    const std::set<HostId> spokenFor = m_context.members.spokenFor(m_context.clock.now());
    beat.uses = m_context.backends.ownUseIncluding(spokenFor);
    addTeams(beat, HostId());
    for (const HostId &host : spokenFor) {
        beat.told.push_back(m_context.members.peers().at(host).sign);
    }
}

void BeatExchange::addAllOthers(HostBeat &beat, const HostId &receiver) const
{
    const Millis now = m_context.clock.now();
    beat.uses = m_context.backends.totalUseExcluding(receiver);
    addTeams(beat, receiver);
    for (const auto &[host, member] : m_context.members.peers()) {
        if (host != receiver && m_context.members.isLive(host, now)) {
            beat.told.push_back(member.sign);
        }
    }
}

void BeatExchange::addTeams(HostBeat &beat, const HostId &receiver) const
{
    const Millis now = m_context.clock.now();
    for (auto &[team, quota] : m_context.admission.quotas()) {
        if (!quota.isLimited()) {
            continue;
        }
        TeamUse use;
        use.team = shortHash(team.text());
        use.admitted = receiver.isEmpty() ? quota.admitted() : quota.admittedByAllBut(receiver);
        use.recent = receiver.isEmpty() ? quota.recent(now) : 0;
        use.level = static_cast<int64_t>(quota.level(now));
        use.isLevelKnown = quota.isLevelKnown(now);
        const std::optional<int64_t> counted = quota.countOf(receiver);
        use.isReceiverCounted = counted.has_value();
        use.receiverCount = counted.value_or(0);
        beat.teams.push_back(use);
    }
}

template<class Action>
void BeatExchange::forEachTeam(const HostBeat &beat, Action action)
{
    for (auto &[team, quota] : m_context.admission.quotas()) {
        const uint32_t name = shortHash(team.text());
        for (const TeamUse &use : beat.teams) {
            if (use.team == name) {
                action(quota, use);
            }
        }
    }
}

void BeatExchange::take(const HostId &from, const HostBeat &beat)
{
    const Millis now = m_context.clock.now();
    const FleetMembers &members = m_context.members;
    // A host that has just started takes itself for its domain's hub until it hears the others.
    if (beat.scope == BeatScope::AllOthers && members.isHub(from) && !members.isHub(m_context.settings.host)) {
        if (m_source != from) {
            for (const auto &[host, member] : members.peers()) {
                ignore(host);
            }
            m_source = from;
        }
        m_sourceAt = now;
        count(from, beat, false);
        followLevels(beat);
        return;
    }
    if (!m_source.isEmpty() && now - m_sourceAt > sourceLimit) {
        ignore(m_source);
        emptyQuotas();
        m_source = HostId();
    }
    const bool isHub = members.isHub(from);
    const bool isSpokenFor = !isHub && members.speakerOf(from) == m_context.settings.host;
    if (beat.scope == BeatScope::Sender && m_source.isEmpty() && (isHub || isSpokenFor)) {
        count(from, beat, isSpokenFor);
    } else if (from != m_source) {
        m_context.backends.setPeerUse(from, {});
        follow(from, beat);
    }
}

void BeatExchange::follow(const HostId &from, const HostBeat &beat)
{
    const FleetMembers &members = m_context.members;
    const auto speaker = members.peers().find(members.speakerOf(from));
    const bool mayTakeOver = beat.scope == BeatScope::Sender && members.isHub(m_context.settings.host);
    // What comes after the speaker's last beat must count if this host takes its place.
    if (!mayTakeOver || speaker == members.peers().end()
        || m_context.clock.now() - speaker->second.heardAt > speakerPause) {
        return;
    }
    forEachTeam(beat, [&](FleetQuota &quota, const TeamUse &use) {
        quota.followCount(from, beat.incarnation.text(), use.admitted);
    });
}

void BeatExchange::emptyQuotas()
{
    for (auto &[team, quota] : m_context.admission.quotas()) {
        quota.empty(m_context.clock.now());
    }
}

void BeatExchange::count(const HostId &from, const HostBeat &beat, bool isSpokenFor)
{
    const Millis now = m_context.clock.now();
    m_context.backends.setPeerUse(from, beat.uses);
    const bool mayLearn = beat.scope == BeatScope::Sender && m_context.members.isHub(from);
    forEachTeam(beat, [&](FleetQuota &quota, const TeamUse &use) {
        quota.onReport(from, beat.incarnation.text(), use.admitted, now, isSpokenFor, use.recent);
        if (mayLearn && use.isLevelKnown) {
            quota.learnLevel(static_cast<double>(use.level), now);
        }
    });
}

void BeatExchange::followLevels(const HostBeat &beat)
{
    const Millis now = m_context.clock.now();
    // What the hub counted of an earlier life of this host says nothing about this one.
    const bool isThisLife = beat.echoedLife == m_context.members.incarnation();
    forEachTeam(beat, [&](FleetQuota &quota, const TeamUse &use) {
        const bool isCounted = use.isReceiverCounted && isThisLife;
        quota.followLevel(static_cast<double>(use.level),
                          isCounted ? std::optional<int64_t>(use.receiverCount) : std::nullopt, now);
    });
}

void BeatExchange::ignore(const HostId &host)
{
    m_context.backends.setPeerUse(host, {});
    for (auto &[team, quota] : m_context.admission.quotas()) {
        quota.forgetCount(host);
    }
}

void BeatExchange::followSilence()
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
    const bool hasMembers = members.hubs().size() < static_cast<size_t>(members.hostCount() - silent);
    const Millis lag = hasMembers ? hubLag : Millis(0);
    const bool isFollowing = !m_source.isEmpty();
    // A host that hears of the others from a hub alone knows nothing while the hub is silent.
    const bool isSourceSilent = isFollowing && now - m_sourceAt > sourcePause;
    if (members.isListed()) {
        const int64_t hosts = members.hostCount();
        m_context.admission.setQuotaHosts(hosts, isSourceSilent ? hosts - 1 : silent, lag, isFollowing, now);
    }
    tellChanges(std::move(live));
}

void BeatExchange::tellChanges(std::set<HostId> live)
{
    if (live == m_liveHosts) {
        return;
    }
    std::string changes;
    for (const HostId &host : live) {
        changes += m_liveHosts.count(host) > 0 ? "" : " +" + host.text();
    }
    for (const HostId &host : m_liveHosts) {
        changes += live.count(host) > 0 ? "" : " -" + host.text();
    }
    m_context.log.record(EventCode::HostListChanged, m_context.settings.host.text(),
                         std::to_string(live.size()) + " live:" + changes);
    m_liveHosts = std::move(live);
}

}
