#include "policy/fleetquota.h"

#include <algorithm>

namespace vanillaspar
{

namespace
{

constexpr double millisPerSecond = 1000;
constexpr int debtCycleLength = 3;
// Of the newest lag in a host's fraction of what all admit: demand moves between hosts within seconds.
constexpr double loadFractionWeight = 0.2;
// Even parts of the bucket that a host may take in a lag whatever it took before: all hosts' parts then add up to two
// and a half buckets at most, however demand has moved between them, and in a surge they don't all use theirs.
constexpr double baseEvenParts = 1.5;
// Below this fraction of the bucket a team is near its limit, and what a host took beyond its share counts in the next
// lag.
constexpr double lowLevelFraction = 0.5;
// A new host hears the level of the others within some beats; if it doesn't, nobody has one.
constexpr Millis levelDiscoveryTime(2000);
// From a host's request to its hub's failure being noticed by nobody: a beat of the host, and one of the hub.
constexpr Millis recentSpan(300);
constexpr Millis unknownHostsDelay(200); // until a host that has just started knows who shares the bucket
constexpr Millis maxRetryDelay(10000); // named to a caller when the bucket will not hold the cost at all

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
        // What the new life admitted before it was heard is taken off too; the first life's rest was reported.
        const bool isFirst = peer.incarnation.empty();
        peer.incarnation = incarnation;
        // Whoever heard the host before may have ended without passing on what it heard last.
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
        // Two of three go in on debt; without debts a large request would never find enough beside small ones.
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
    // The first one of a lag may be larger than the share, or a host of many would never admit a large request.
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
    // Others promise too: what comes back to this host is its own fraction of the refill.
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
