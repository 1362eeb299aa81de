#include "serving/membership/latencyexchange.h"

#include "cluster/message.h"
#include "cluster/peerlink.h"
#include "core/clock.h"
#include "core/eventlog.h"
#include "serving/interfaces/servingsettings.h"
#include "serving/membership/fleetmembers.h"
#include "serving/placement/replicalatencies.h"
#include "serving/replicas/backendtable.h"

#include <map>
#include <string>

namespace vanillaspar::serving
{

namespace
{

constexpr uint64_t leafRounds = 2; // hubs and leaf hosts exchange reports in every second round, as heartbeats
constexpr uint64_t purgeRounds = 10; // a second
constexpr Millis relayTimeout(700); // without a report of the relaying hub, as for heartbeats
constexpr double slowFactor = 2;
constexpr double recoveredFactor = 1.5;

}

LatencyExchange::LatencyExchange(const LatencyContext &context) : m_context(context)
{
    m_context.latencies.setEnabled(m_context.settings.features.learnedCapacity);
}

void LatencyExchange::send()
{
    m_context.latencies.setEnabled(m_context.settings.features.learnedCapacity);
    if (!m_context.latencies.isEnabled()) {
        return;
    }
    ++m_round;
    const Millis now = m_context.clock.now();
    if (m_round % purgeRounds == 0) {
        m_context.latencies.purge(now);
    }
    const FleetMembers &members = m_context.members;
    const HostId &self = m_context.settings.host;
    const bool isOwnHub = members.isHub(self);
    const LatencyReport aggregate {false, m_context.latencies.reportIncluding(members.leafHosts(now), now)};
    for (const HostId &host : members.heartbeatTargets(now)) {
        const bool isBetweenHubs = isOwnHub && members.isHub(host);
        const bool isToLeaf = isOwnHub && !members.isHub(host);
        if ((!isBetweenHubs && m_round % leafRounds != 0) || (isToLeaf && members.hubOf(host) != self)) {
            continue;
        }
        const LatencyReport report
            = isToLeaf ? LatencyReport {true, m_context.latencies.reportExcluding(host, now)} : aggregate;
        m_context.peers.send(members.peers().at(host).peerAddress, report);
    }
    if (isOwnHub) {
        logChanges();
    }
}

void LatencyExchange::receive(const HostId &from, const LatencyReport &report)
{
    const FleetMembers &members = m_context.members;
    const HostId &self = m_context.settings.host;
    if (!m_context.latencies.isEnabled() || members.peers().count(from) == 0) {
        return;
    }
    const Millis now = m_context.clock.now();
    // A host that has just started considers itself its domain's hub until heartbeats of the others arrive.
    if (report.coversAllButReceiver && members.isHub(from) && !members.isHub(self)) {
        m_relay = from;
        m_relayHeardAt = now;
        m_context.latencies.keepReports({from});
        m_context.latencies.setPeerReport(from, report.replicas, now);
        return;
    }
    if (!m_relay.isEmpty() && now - m_relayHeardAt > relayTimeout) {
        m_context.latencies.keepReports({});
        m_relay = HostId();
    }
    const bool isCounted = members.isHub(from) || members.hubOf(from) == self;
    if (!report.coversAllButReceiver && m_relay.isEmpty() && isCounted) {
        m_context.latencies.setPeerReport(from, report.replicas, now);
    } else if (from != m_relay) {
        m_context.latencies.setPeerReport(from, {}, now);
    }
}

void LatencyExchange::logChanges()
{
    std::map<uint32_t, double> factors(m_context.latencies.factors().begin(), m_context.latencies.factors().end());
    for (const uint32_t shortId : m_slow) {
        factors.emplace(shortId, 1); // without recent observations
    }
    for (const auto &[shortId, factor] : factors) {
        const bool wasSlow = m_slow.count(shortId) > 0;
        const bool isSlow = factor >= (wasSlow ? recoveredFactor : slowFactor);
        if (isSlow == wasSlow) {
            continue;
        }
        const BackendState *state = m_context.backends.findByShortId(shortId);
        m_context.log.record(isSlow ? EventCode::ReplicaSlow : EventCode::ReplicaRecovered,
                             state == nullptr ? std::to_string(shortId) : state->info.id.text(),
                             std::to_string(factor) + " times the median latency of its pool");
        if (isSlow) {
            m_slow.insert(shortId);
        } else {
            m_slow.erase(shortId);
        }
    }
}

}
