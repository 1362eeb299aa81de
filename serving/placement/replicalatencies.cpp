#include "serving/placement/replicalatencies.h"

#include "cluster/messages/latency.h"
#include "core/hash.h"
#include "policy/relativelatency.h"
#include "serving/queueing/activerequest.h"
#include "serving/replicas/backendtable.h"

#include <algorithm>
#include <cmath>

namespace vanillaspar::serving
{

namespace
{

constexpr Millis updateInterval(20); // reports arrive every 100 to 200 ms
constexpr Millis rejectionFadeTime(200); // requests of plain services and free slots of engines change within this time
constexpr Millis rejectionRetention(2000); // by then nothing is left of it
constexpr double maxRejections = 4; // of one replica that count at once
constexpr double rejectedRatio = 2; // expected time of a replica that is fuller than reported
constexpr double rejectionWeight = 0.5;
// An open request counts as slow at twice its expected time, and again each time that this doubles.
constexpr double slowRatio = 2;
constexpr double newestLatencyWeight = 0.05;
constexpr int64_t minStreamEvents = 8; // shorter streams tell little of the time between events
constexpr double gapWeight = 0.5; // against the time to the first event: depends on the batch as well
constexpr double ratioScale = 1000; // of ReplicaLatencyReport::logRatio
constexpr double weightScale = 10; // of ReplicaLatencyReport::weight

/** @return how much longer a request takes because others are ahead of it. */
double queueFactorOf(const BackendState &state)
{
    const double slots = static_cast<double>(std::max<int64_t>(state.info.slots, 1));
    return std::max(1.0, (static_cast<double>(state.running()) + 1) / slots);
}

}

std::string ReplicaLatencies::kindOf(const ActiveRequest &active)
{
    return active.route.text() + '\n' + active.pool.text() + '\n' + (active.team ? active.team->text() : "");
}

double ReplicaLatencies::expected(const ActiveRequest &active) const
{
    const auto known = m_baselines.find(kindOf(active));
    return known == m_baselines.end() ? 0 : known->second.expected();
}

double ReplicaLatencies::meanLatency(const PoolId &pool) const
{
    const auto known = m_meanLatencies.find(pool);
    return known == m_meanLatencies.end() ? 0 : known->second;
}

void ReplicaLatencies::update(const PoolId &pool, const std::vector<BackendState *> &replicas, Millis now)
{
    const auto updated = m_levels.find(pool);
    if (updated != m_levels.end() && now - updated->second.second < updateInterval) {
        return;
    }
    std::vector<LatencyEvidence> evidence;
    evidence.reserve(replicas.size());
    for (const BackendState *state : replicas) {
        evidence.push_back(evidenceOf(state->shortId, now));
    }
    const RelativeLatency relative = RelativeLatency::compare(evidence, now);
    for (size_t index = 0; index < replicas.size(); ++index) {
        m_factors[replicas[index]->shortId] = relative.factors[index];
    }
    m_levels[pool] = {relative.level, now};
}

void ReplicaLatencies::purge(Millis now)
{
    std::erase_if(m_own, [now](const auto &entry) {
        return entry.second.weight(now) <= 0;
    });
    std::erase_if(m_factors, [&](const auto &entry) {
        return evidenceOf(entry.first, now).weight(now) <= 0;
    });
    std::erase_if(m_rejections, [&](const auto &entry) {
        return now - entry.second.countedAt > rejectionRetention;
    });
}

double ReplicaLatencies::factor(const BackendState &state) const
{
    const auto known = m_factors.find(state.shortId);
    return known == m_factors.end() ? 1 : known->second;
}

double ReplicaLatencies::level(const PoolId &pool) const
{
    const auto known = m_levels.find(pool);
    return known == m_levels.end() ? 1 : known->second.first;
}

double ReplicaLatencies::rejections(uint32_t shortId, Millis now) const
{
    const auto known = m_rejections.find(shortId);
    if (known == m_rejections.end()) {
        return 0;
    }
    const auto age = static_cast<double>((now - known->second.countedAt).value);
    return known->second.count * std::exp(-age / static_cast<double>(rejectionFadeTime.value));
}

double ReplicaLatencies::unreportedRequests(const BackendState &state, Millis now) const
{
    // One rejection states that all slots were in use.
    const double missing = static_cast<double>(state.info.slots - state.running());
    return std::max(missing, 1.0) * std::min(rejections(state.shortId, now), 1.0);
}

void ReplicaLatencies::onSending(ActiveRequest &active, const BackendState &backend) const
{
    active.countedRatio = 0;
    active.queueFactor = 1;
    active.expectedLatency = 0;
    if (m_isEnabled && !active.isEngine) {
        active.queueFactor = queueFactorOf(backend);
        active.expectedLatency = expected(active) * active.queueFactor;
    }
}

void ReplicaLatencies::onWaiting(ActiveRequest &active, Millis now)
{
    if (!m_isEnabled || active.expectedLatency <= 0) {
        return;
    }
    const double ratio = static_cast<double>((now - active.sentAt).value) / active.expectedLatency;
    if (ratio >= slowRatio * std::max(active.countedRatio, level(active.pool))) {
        active.countedRatio = ratio;
        observe(active.replica, ratio, active.isEngine ? 1 : m_baselines[kindOf(active)].confidence(), now);
    }
}

void ReplicaLatencies::onAnswered(const ActiveRequest &active, Millis now)
{
    if (!m_isEnabled || active.isEngine) {
        return;
    }
    const auto elapsed = static_cast<double>((now - active.sentAt).value);
    LatencyBaseline &baseline = m_baselines[kindOf(active)];
    if (active.expectedLatency > 0) {
        observe(active.replica, std::max(elapsed, 0.5) / active.expectedLatency, baseline.confidence(), now);
    }
    const auto factor = m_factors.find(shortHash(active.replica.text()));
    baseline.observe(elapsed / active.queueFactor / (factor == m_factors.end() ? 1 : factor->second));
    double &mean = m_meanLatencies[active.pool];
    mean += mean > 0 ? (elapsed - mean) * newestLatencyWeight : elapsed;
}

void ReplicaLatencies::onCompleted(const ActiveRequest &active, Millis now)
{
    const int64_t events = active.progress.count();
    if (!m_isEnabled || !active.isEngine || events < minStreamEvents || active.attemptAnsweredAt.value < 0) {
        return;
    }
    const double gap = static_cast<double>((now - active.attemptAnsweredAt).value) / static_cast<double>(events);
    LatencyBaseline &baseline = m_baselines["events\n" + active.pool.text()];
    if (baseline.expected() > 0) {
        observe(active.replica, gap / baseline.expected(), gapWeight * baseline.confidence(), now);
    }
    const auto factor = m_factors.find(shortHash(active.replica.text()));
    baseline.observe(gap / (factor == m_factors.end() ? 1 : factor->second));
}

void ReplicaLatencies::onRejected(const ActiveRequest &active, Millis now)
{
    if (!m_isEnabled) {
        return;
    }
    const uint32_t shortId = shortHash(active.replica.text());
    m_rejections[shortId] = {std::min(rejections(shortId, now) + 1, maxRejections), now};
    if (!active.isEngine) {
        observe(active.replica, rejectedRatio * level(active.pool), rejectionWeight, now);
    }
}

void ReplicaLatencies::observe(const ReplicaId &replica, double ratio, double weight, Millis now)
{
    if (m_isEnabled) {
        m_own[shortHash(replica.text())].observe(ratio, weight, now);
    }
}

LatencyEvidence ReplicaLatencies::evidenceOf(uint32_t shortId, Millis now) const
{
    LatencyEvidence sum;
    if (const auto own = m_own.find(shortId); own != m_own.end()) {
        sum.add(own->second, now);
    }
    for (const auto &[host, evidence] : m_peers) {
        if (const auto reported = evidence.find(shortId); reported != evidence.end()) {
            sum.add(reported->second, now);
        }
    }
    return sum;
}

void ReplicaLatencies::setPeerReport(const HostId &host, const std::vector<ReplicaLatencyReport> &replicas, Millis now)
{
    Evidence &evidence = m_peers[host];
    evidence.clear();
    for (const ReplicaLatencyReport &report : replicas) {
        evidence[report.replica]
            = LatencyEvidence(report.logRatio / ratioScale, report.weight / weightScale, now - Millis(report.age), now);
    }
}

void ReplicaLatencies::keepReports(const std::set<HostId> &hosts)
{
    for (auto entry = m_peers.begin(); entry != m_peers.end();) {
        entry = hosts.count(entry->first) > 0 ? std::next(entry) : m_peers.erase(entry);
    }
}

std::vector<ReplicaLatencyReport> ReplicaLatencies::makeReport(const Evidence &evidence, Millis now)
{
    std::vector<ReplicaLatencyReport> report;
    for (const auto &[shortId, each] : evidence) {
        const double weight = std::min(each.weight(now) * weightScale, static_cast<double>(UINT16_MAX));
        if (weight >= 1) {
            report.push_back({shortId, static_cast<int16_t>(std::lround(each.logRatio() * ratioScale)),
                              static_cast<uint16_t>(weight), static_cast<uint16_t>((now - each.observedAt()).value)});
        }
    }
    std::sort(report.begin(), report.end(), [](const auto &a, const auto &b) {
        return a.replica < b.replica;
    });
    return report;
}

std::vector<ReplicaLatencyReport> ReplicaLatencies::reportIncluding(const std::set<HostId> &hosts, Millis now) const
{
    Evidence sums = m_own;
    for (const HostId &host : hosts) {
        if (const auto reported = m_peers.find(host); reported != m_peers.end()) {
            for (const auto &[shortId, evidence] : reported->second) {
                sums[shortId].add(evidence, now);
            }
        }
    }
    return makeReport(sums, now);
}

std::vector<ReplicaLatencyReport> ReplicaLatencies::reportExcluding(const HostId &host, Millis now) const
{
    std::set<HostId> others;
    for (const auto &[peer, evidence] : m_peers) {
        if (peer != host) {
            others.insert(peer);
        }
    }
    return reportIncluding(others, now);
}

}
