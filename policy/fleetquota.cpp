#include "policy/fleetquota.h"

#include <algorithm>

namespace vanillaspar
{

namespace
{

constexpr double millisPerSecond = 1000;
constexpr int debtTurns = 3;
// Of the newest lag in a host's part of what all admit: demand moves between hosts within seconds.
constexpr double shareWeight = 0.2;
// Even parts of the bucket that a host may take in a lag whatever it took before: all hosts' parts then add up to two
// and a half buckets at most, however demand has moved between them, and in a surge they don't all use theirs.
constexpr double freeParts = 1.5;
// Below this part of the bucket a team is near its limit, and what a host took beyond its share counts in the next lag.
constexpr double tightLevel = 0.5;
// A new host hears the level of the others within some beats; if it doesn't, nobody has one.
constexpr Millis learningTime(2000);
// From a host's request to its hub's failure being noticed by nobody: a beat of the host, and one of the hub.
constexpr Millis recentSpan(300);
constexpr Millis unsharedWait(200); // until a host that has just started knows who shares the bucket
constexpr Millis longestWait(10000); // named to a caller when the bucket will not hold the cost at all

}

void FleetQuota::configure(double rate, double burst, Millis now)
{
    refill(now);
    m_rate = rate;
    m_burst = burst;
    m_level = std::min(m_level, m_burst * ownPart());
}

void FleetQuota::setHosts(int64_t hosts, int64_t silent, Millis lag, Millis now)
{
    refill(now);
    if (m_hosts == 0) {
        m_sharedSince = now;
    }
    m_lag = lag;
    m_hosts = std::max<int64_t>(hosts, 1);
    m_silent = std::clamp<int64_t>(silent, 0, m_hosts - 1);
    m_level = std::min(m_level, m_burst * ownPart());
}

void FleetQuota::setFollowing(bool isFollowing, Millis now)
{
    refill(now);
    m_isFollowing = isFollowing;
}

void FleetQuota::onReport(const HostId &host, const std::string &incarnation, int64_t admitted, Millis now,
                          bool isSpokenFor, int64_t recent)
{
    refill(now);
    Peer &peer = m_peers[host];
    if (peer.incarnation != incarnation) {
        // What the new life admitted before it was heard is taken off too; the first life's rest was reported.
        const bool isFirst = peer.incarnation.empty();
        peer.incarnation = incarnation;
        // Whoever heard the host before may have ended without passing on what it heard last.
        const bool mayHaveMissed = isFirst && m_sharedSince.value >= 0 && now - m_sharedSince < learningTime;
        const int64_t known = isFirst ? admitted : 0;
        peer.admitted
            = mayHaveMissed ? admitted - std::clamp<int64_t>(recent, 0, std::max<int64_t>(admitted, 0)) : known;
    }
    const int64_t added = admitted - peer.admitted;
    m_level = std::min(m_level - static_cast<double>(added), m_burst * ownPart());
    peer.admitted = admitted;
    peer.counted += added;
    m_heard += added;
    m_spokenFor += isSpokenFor ? added : 0;
}

void FleetQuota::followCount(const HostId &host, const std::string &incarnation, int64_t admitted)
{
    Peer &peer = m_peers[host];
    peer.incarnation = incarnation;
    peer.admitted = admitted;
}

void FleetQuota::followLevel(double level, std::optional<int64_t> counted, Millis now)
{
    refill(now);
    const double followed = counted ? level - static_cast<double>(admitted() - *counted) : std::min(m_level, level);
    m_level = std::min(followed, m_burst * ownPart());
    m_isLevelKnown = true;
}

void FleetQuota::learnLevel(double level, Millis now)
{
    if (!isLevelKnown(now)) {
        followLevel(level, 0, now);
    }
}

bool FleetQuota::isLevelKnown(Millis now) const
{
    return m_isLevelKnown || (m_sharedSince.value >= 0 && now - m_sharedSince > learningTime);
}

std::optional<int64_t> FleetQuota::countOf(const HostId &host) const
{
    const auto peer = m_peers.find(host);
    if (peer == m_peers.end() || peer->second.incarnation.empty()) {
        return std::nullopt;
    }
    return peer->second.admitted;
}

void FleetQuota::empty(Millis now)
{
    refill(now);
    m_level = std::min(m_level, 0.0);
    m_isLevelKnown = false;
    m_sharedSince = now;
}

void FleetQuota::forgetCount(const HostId &host)
{
    const auto peer = m_peers.find(host);
    if (peer != m_peers.end()) {
        peer->second.incarnation.clear();
    }
}

int64_t FleetQuota::admittedByAllBut(const HostId &host) const
{
    const auto peer = m_peers.find(host);
    return m_admitted + m_heard - (peer == m_peers.end() ? 0 : peer->second.counted);
}

bool FleetQuota::take(double cost, Millis now)
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
        m_debtTurn = m_level > 0 ? (m_debtTurn + 1) % debtTurns : m_debtTurn;
        if (m_level <= 0 || m_debtTurn == 0) {
            return false;
        }
    }
    if (!isWithinShare(cost, now)) {
        return false;
    }
    m_allowance -= cost;
    m_level -= cost;
    m_admitted += static_cast<int64_t>(cost);
    followRecent(now);
    m_recent += static_cast<int64_t>(cost);
    return true;
}

void FleetQuota::giveBack(double cost, Millis now)
{
    if (!isLimited()) {
        return;
    }
    refill(now);
    m_admitted -= static_cast<int64_t>(cost);
    m_level = std::min(m_level + cost, m_burst * ownPart());
}

void FleetQuota::followRecent(Millis now)
{
    const Millis age = now - m_recentSince;
    if (age < recentSpan) {
        return;
    }
    m_recentBefore = age < recentSpan + recentSpan ? m_recent : 0;
    m_recent = 0;
    m_recentSince = now;
}

int64_t FleetQuota::recent(Millis now) const
{
    const Millis age = now - m_recentSince;
    if (age < recentSpan) {
        return m_recent + m_recentBefore;
    }
    return age < recentSpan + recentSpan ? m_recent : 0;
}

bool FleetQuota::isWithinShare(double cost, Millis now)
{
    if (m_lag.value <= 0) {
        return true;
    }
    if (now >= m_allowanceEndsAt) {
        const auto own = static_cast<double>(m_admitted - m_admittedBefore);
        const auto all = own + static_cast<double>(m_heard - m_heardBefore);
        if (all > 0) {
            m_share += (std::clamp(own / all, 0.0, 1.0) - m_share) * shareWeight;
        }
        const double part = std::min(m_share + freeParts / static_cast<double>(m_hosts), 1.0);
        const double debt = m_level < m_burst * tightLevel ? std::min(m_allowance, 0.0) : 0;
        m_allowance = std::max(m_level, 0.0) * part + debt;
        m_hasTakenInLag = false;
        m_allowanceEndsAt = now + m_lag;
        m_admittedBefore = m_admitted;
        m_heardBefore = m_heard;
    }
    // The first one of a lag may be larger than the share, or a host of many would never admit a large request.
    const bool isFirst = !m_hasTakenInLag && m_allowance > 0;
    m_hasTakenInLag = m_hasTakenInLag || isFirst;
    return isFirst || m_allowance >= cost;
}

double FleetQuota::level(Millis now)
{
    refill(now);
    return m_level;
}

Millis FleetQuota::promiseRoom(double cost, Millis now)
{
    refill(now);
    const double refillRate = m_rate * ownPart();
    if (refillRate <= 0) {
        return unsharedWait;
    }
    const double missing = std::max(1 - m_level, 0.0);
    const Millis room = now + Millis(static_cast<int64_t>(missing / refillRate * millisPerSecond) + 1);
    const Millis returnAt = std::max(room, m_promisedUntil);
    // Others promise too: what comes back to this host is its own part of the refill.
    const double part = std::min(m_share + 1 / static_cast<double>(m_hosts), 1.0);
    m_promisedUntil = std::min(returnAt + Millis(static_cast<int64_t>(cost / (refillRate * part) * millisPerSecond)),
                               now + longestWait);
    return std::min(returnAt - now, longestWait);
}

double FleetQuota::ownPart() const
{
    if (m_hosts == 0) {
        return 0;
    }
    return static_cast<double>(m_hosts - m_silent) / static_cast<double>(m_hosts);
}

double FleetQuota::refillPart() const
{
    return m_isFollowing && m_hosts > 0 ? 1 / static_cast<double>(m_hosts) : ownPart();
}

void FleetQuota::refill(Millis now)
{
    const double elapsed = static_cast<double>((now - m_refilledAt).value);
    m_refilledAt = now;
    if (elapsed > 0) {
        m_level = std::min(m_level + m_rate * refillPart() * elapsed / millisPerSecond, m_burst * ownPart());
    }
}

}
