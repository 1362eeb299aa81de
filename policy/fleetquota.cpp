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
// and a half buckets at most, however demand has moved between them, which keeps the users' bound.
constexpr double freeParts = 1.5;
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
    m_lag = lag;
    m_hosts = std::max<int64_t>(hosts, 1);
    m_silent = std::clamp<int64_t>(silent, 0, m_hosts - 1);
    m_level = std::min(m_level, m_burst * ownPart());
}

void FleetQuota::onReport(const HostId &host, const std::string &incarnation, int64_t admitted, Millis now,
                          bool isSpokenFor)
{
    refill(now);
    Peer &peer = m_peers[host];
    if (peer.incarnation != incarnation) {
        // What the new life admitted before it was heard is taken off too; the first life's rest was reported.
        const bool isFirst = peer.incarnation.empty();
        peer.incarnation = incarnation;
        peer.admitted = isFirst ? admitted : 0;
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

void FleetQuota::empty(Millis now)
{
    refill(now);
    m_level = std::min(m_level, 0.0);
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
    if (m_level < cost) {
        // Two of three go in on debt; without debts a large request would never find enough beside small ones.
        m_debtTurn = m_level > 0 ? (m_debtTurn + 1) % debtTurns : m_debtTurn;
        if (m_level <= 0 || m_debtTurn == 0) {
            return false;
        }
    }
    if (!isWithinShare(now)) {
        return false;
    }
    m_allowance -= cost;
    m_level -= cost;
    m_admitted += static_cast<int64_t>(cost);
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

bool FleetQuota::isWithinShare(Millis now)
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
        // What a large request took beyond it is not held against the small ones of the next lag.
        m_allowance = m_level * part;
        m_allowanceEndsAt = now + m_lag;
        m_admittedBefore = m_admitted;
        m_heardBefore = m_heard;
    }
    return m_allowance > 0;
}

double FleetQuota::level(Millis now)
{
    refill(now);
    return m_level;
}

Millis FleetQuota::waitForRoom(Millis now)
{
    refill(now);
    const double missing = 1 - m_level;
    const double refillRate = m_rate * ownPart();
    if (missing <= 0 || refillRate <= 0) {
        return Millis(0);
    }
    return std::min(Millis(static_cast<int64_t>(missing / refillRate * millisPerSecond) + 1), longestWait);
}

double FleetQuota::ownPart() const
{
    return static_cast<double>(m_hosts - m_silent) / static_cast<double>(m_hosts);
}

void FleetQuota::refill(Millis now)
{
    const double elapsed = static_cast<double>((now - m_refilledAt).value);
    m_refilledAt = now;
    if (elapsed > 0) {
        m_level = std::min(m_level + m_rate * ownPart() * elapsed / millisPerSecond, m_burst * ownPart());
    }
}

}
