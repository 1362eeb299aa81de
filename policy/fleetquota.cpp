#include "policy/fleetquota.h"

#include <algorithm>

namespace vanillaspar
{

namespace
{

constexpr double millisPerSecond = 1000;
constexpr int debtCycleLength = 3; // one in three requests that cost more than a positive level is refused
// Weight of the newest lag in the smoothed load fraction. Demand moves between hosts within seconds.
constexpr double loadFractionWeight = 0.2;
// Even shares that a host may consume in a lag in addition to its load fraction. The allowances of all hosts add up to
// at most 2.5 buckets, however demand has moved between them, and in a surge not all hosts use theirs.
constexpr double baseEvenParts = 1.5;
// Below this fraction of the burst a team is near its limit, and consumption beyond the allowance reduces the next one.
constexpr double lowLevelFraction = 0.5;
// A new host receives the other hosts' level within some heartbeats. After this time no host has one.
constexpr Millis levelDiscoveryTime(2000);
// Covers the time in which a hub's failure can lose a host's report: one heartbeat of the host and one of the hub.
constexpr Millis recentSpan(300);
constexpr Millis unknownHostsDelay(200); // until a host that has just started knows which hosts share the bucket
constexpr Millis peerLevelLifetime(400); // some heartbeats
constexpr double convergence = 0.03; // part of the difference to the median, for each report of a level
constexpr Millis maxRetryDelay(10000); // told to callers also if the bucket needs longer or never has a token

}

void FleetQuota::configure(double rate, double burst, Millis now)
{
    refill(now);
    m_rate = rate;
    m_burst = burst;
    m_level = std::min(m_level, m_burst * reachableFraction());
}

void FleetQuota::setHosts(int64_t hosts, int64_t silent, Millis lag, Millis now)
{
    refill(now);
    if (m_hosts == 0) {
        m_hostsKnownSince = now;
    }
    m_lag = lag;
    m_hosts = std::max<int64_t>(hosts, 1);
    m_silent = std::clamp<int64_t>(silent, 0, m_hosts - 1);
    m_level = std::min(m_level, m_burst * reachableFraction());
}

void FleetQuota::setLevelFromHub(bool isLevelFromHub, Millis now)
{
    refill(now);
    m_isLevelFromHub = isLevelFromHub;
}

void FleetQuota::onReport(const HostId &host, const std::string &incarnation, int64_t admitted, Millis now,
                          bool isAggregated, int64_t recent)
{
    refill(now);
    Peer &peer = m_peers[host];
    if (peer.incarnation != incarnation) {
        // A new incarnation counts from 0, so its whole count is subtracted. The first count of a host unknown here is
        // only the base for later reports: tokens that it admitted earlier aren't in this host's bucket.
        const bool isFirst = peer.incarnation.empty();
        peer.incarnation = incarnation;
        // The hub that received the last report before this may have failed before it relayed the report.
        const bool isRecentUncounted
            = isFirst && m_hostsKnownSince.value >= 0 && now - m_hostsKnownSince < levelDiscoveryTime;
        const int64_t baseline = isFirst ? admitted : 0;
        peer.admitted
            = isRecentUncounted ? admitted - std::clamp<int64_t>(recent, 0, std::max<int64_t>(admitted, 0)) : baseline;
    }
    const int64_t added = admitted - peer.admitted;
    m_level = std::min(m_level - static_cast<double>(added), m_burst * reachableFraction());
    peer.admitted = admitted;
    peer.counted += added;
    m_reportedByOthers += added;
    m_aggregated += isAggregated ? added : 0;
}

void FleetQuota::setReportedCount(const HostId &host, const std::string &incarnation, int64_t admitted)
{
    Peer &peer = m_peers[host];
    peer.incarnation = incarnation;
    peer.admitted = admitted;
}

void FleetQuota::adoptLevel(double level, std::optional<int64_t> counted, Millis now)
{
    refill(now);
    const double adopted = counted ? level - static_cast<double>(admitted() - *counted) : std::min(m_level, level);
    m_level = std::min(adopted, m_burst * reachableFraction());
    m_isLevelKnown = true;
}

void FleetQuota::adoptInitialLevel(double level, Millis now)
{
    if (!isLevelKnown(now)) {
        adoptLevel(level, 0, now);
    }
}

void FleetQuota::onPeerLevel(const HostId &host, double level, Millis now)
{
    refill(now);
    Peer &peer = m_peers[host];
    peer.level = level;
    peer.levelAt = now;
    if (!isLevelKnown(now)) {
        return;
    }
    std::vector<double> levels {m_level};
    for (const auto &[name, other] : m_peers) {
        if (other.levelAt.value >= 0 && now - other.levelAt < peerLevelLifetime) {
            levels.push_back(other.level);
        }
    }
    const auto middle = levels.begin() + static_cast<std::ptrdiff_t>((levels.size() - 1) / 2);
    std::nth_element(levels.begin(), middle, levels.end()); // of two middle ones the lower
    m_level = std::min(m_level + (*middle - m_level) * convergence, m_burst * reachableFraction());
}

bool FleetQuota::isLevelKnown(Millis now) const
{
    return m_isLevelKnown || (m_hostsKnownSince.value >= 0 && now - m_hostsKnownSince > levelDiscoveryTime);
}

std::optional<int64_t> FleetQuota::lastReportedCount(const HostId &host) const
{
    const auto peer = m_peers.find(host);
    if (peer == m_peers.end() || peer->second.incarnation.empty()) {
        return std::nullopt;
    }
    return peer->second.admitted;
}

void FleetQuota::emptyBucket(Millis now)
{
    refill(now);
    m_level = std::min(m_level, 0.0);
    m_isLevelKnown = false;
    m_hostsKnownSince = now;
}

void FleetQuota::forgetReportedCount(const HostId &host)
{
    const auto peer = m_peers.find(host);
    if (peer != m_peers.end()) {
        peer->second.incarnation.clear();
    }
}

int64_t FleetQuota::admittedExcept(const HostId &host) const
{
    const auto peer = m_peers.find(host);
    return m_admitted + m_reportedByOthers - (peer == m_peers.end() ? 0 : peer->second.counted);
}

bool FleetQuota::tryConsume(double cost, Millis now)
{
    if (!isLimited()) {
        return true;
    }
    refill(now);
    if (m_hosts == 0) {
        return false;
    }
    if (m_level < cost) {
        // Two of three requests are admitted on debt, as small requests would otherwise starve large ones.
        m_debtCycle = m_level > 0 ? (m_debtCycle + 1) % debtCycleLength : m_debtCycle;
        if (m_level <= 0 || m_debtCycle == 0) {
            return false;
        }
    }
    if (!isWithinAllowance(cost, now)) {
        return false;
    }
    m_allowance -= cost;
    m_level -= cost;
    m_admitted += static_cast<int64_t>(cost);
    advanceRecentSpan(now);
    m_recentCurrent += static_cast<int64_t>(cost);
    return true;
}

void FleetQuota::refund(double cost, Millis now)
{
    if (!isLimited()) {
        return;
    }
    refill(now);
    m_admitted -= static_cast<int64_t>(cost);
    m_level = std::min(m_level + cost, m_burst * reachableFraction());
}

void FleetQuota::advanceRecentSpan(Millis now)
{
    const Millis age = now - m_recentSince;
    if (age < recentSpan) {
        return;
    }
    m_recentPrevious = age < recentSpan + recentSpan ? m_recentCurrent : 0;
    m_recentCurrent = 0;
    m_recentSince = now;
}

int64_t FleetQuota::recentlyAdmitted(Millis now) const
{
    const Millis age = now - m_recentSince;
    if (age < recentSpan) {
        return m_recentCurrent + m_recentPrevious;
    }
    return age < recentSpan + recentSpan ? m_recentCurrent : 0;
}

bool FleetQuota::isWithinAllowance(double cost, Millis now)
{
    if (m_lag.value <= 0) {
        return true;
    }
    if (now >= m_allowanceEndsAt) {
        const auto own = static_cast<double>(m_admitted - m_admittedAtLagStart);
        const auto all = own + static_cast<double>(m_reportedByOthers - m_reportedAtLagStart);
        if (all > 0) {
            m_loadFraction += (std::clamp(own / all, 0.0, 1.0) - m_loadFraction) * loadFractionWeight;
        }
        const double fraction = std::min(m_loadFraction + baseEvenParts / static_cast<double>(m_hosts), 1.0);
        const double debt = m_level < m_burst * lowLevelFraction ? std::min(m_allowance, 0.0) : 0;
        m_allowance = std::max(m_level, 0.0) * fraction + debt;
        m_hasConsumedInLag = false;
        m_allowanceEndsAt = now + m_lag;
        m_admittedAtLagStart = m_admitted;
        m_reportedAtLagStart = m_reportedByOthers;
    }
    // The first request of a lag may exceed the allowance. Otherwise, with many hosts, none would ever admit a large
    // request.
    const bool isFirst = !m_hasConsumedInLag && m_allowance > 0;
    m_hasConsumedInLag = m_hasConsumedInLag || isFirst;
    return isFirst || m_allowance >= cost;
}

double FleetQuota::level(Millis now)
{
    refill(now);
    return m_level;
}

Millis FleetQuota::reserveRetryDelay(double cost, Millis now)
{
    refill(now);
    const double refillRate = m_rate * reachableFraction();
    if (refillRate <= 0) {
        return unknownHostsDelay;
    }
    const double shortfall = std::max(1 - m_level, 0.0);
    const Millis tokenAt = now + Millis(static_cast<int64_t>(shortfall / refillRate * millisPerSecond) + 1);
    const Millis retryAt = std::max(tokenAt, m_retriesBookedUntil);
    // Other hosts reserve refill for their callers too, so only this host's fraction is available here.
    const double fraction = std::min(m_loadFraction + 1 / static_cast<double>(m_hosts), 1.0);
    m_retriesBookedUntil = std::min(
        retryAt + Millis(static_cast<int64_t>(cost / (refillRate * fraction) * millisPerSecond)), now + maxRetryDelay);
    return std::min(retryAt - now, maxRetryDelay);
}

double FleetQuota::reachableFraction() const
{
    if (m_hosts == 0) {
        return 0;
    }
    return static_cast<double>(m_hosts - m_silent) / static_cast<double>(m_hosts);
}

double FleetQuota::refillFraction() const
{
    return m_isLevelFromHub && m_hosts > 0 ? 1 / static_cast<double>(m_hosts) : reachableFraction();
}

void FleetQuota::refill(Millis now)
{
    const double elapsed = static_cast<double>((now - m_refilledAt).value);
    m_refilledAt = now;
    if (elapsed > 0) {
        m_level
            = std::min(m_level + m_rate * refillFraction() * elapsed / millisPerSecond, m_burst * reachableFraction());
    }
}

}
