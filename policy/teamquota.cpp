#include "policy/teamquota.h"

#include <algorithm>

namespace vanillaspar
{

namespace
{

constexpr double millisPerSecond = 1000.0;
constexpr Millis chargeLifetime(600'000); // a charge that isn't settled is dropped after this time

}

void TeamQuota::configure(double rate, double capacity, Millis now)
{
    refill(now);
    m_rate = rate;
    m_capacity = capacity;
    m_level = std::min(m_level, capacityNow(now));
    updateLeastHeadroom(now);
}

void TeamQuota::reset(Millis now)
{
    m_level = 0;
    m_refilledAt = now;
    m_charges.clear();
}

double TeamQuota::capacityNow(Millis now) const
{
    double reserved = 0;
    for (const auto &[number, charge] : m_charges) {
        if (charge.reservedUntil > now) {
            reserved += charge.amount;
        }
    }
    return std::max(0.0, m_capacity - reserved);
}

void TeamQuota::refill(Millis now)
{
    if (now <= m_refilledAt) {
        return;
    }
    const double refilled = m_rate * static_cast<double>((now - m_refilledAt).value) / millisPerSecond;
    m_refilledAt = now;
    m_level = std::max(m_level, std::min(m_level + refilled, capacityNow(now)));
    updateLeastHeadroom(now);
    std::erase_if(m_charges, [now](const auto &entry) {
        return entry.second.expiresAt <= now;
    });
}

void TeamQuota::updateLeastHeadroom(Millis now)
{
    const double headroom = std::max(0.0, capacityNow(now) - m_level);
    for (auto &[number, charge] : m_charges) {
        charge.leastHeadroom
            = std::min(charge.leastHeadroom, headroom + (charge.reservedUntil > now ? charge.amount : 0.0));
    }
}

double TeamQuota::level(Millis now)
{
    refill(now);
    return m_level;
}

uint64_t TeamQuota::addCharge(double amount, Millis now, Millis reservedUntil)
{
    refill(now);
    if (amount < 0 || amount > m_level) {
        return 0;
    }
    m_level -= amount;
    const uint64_t number = m_nextCharge++;
    const double headroom = std::max(0.0, capacityNow(now) - m_level);
    m_charges[number] = {amount, headroom, reservedUntil, now + chargeLifetime};
    return number;
}

uint64_t TeamQuota::charge(double amount, Millis now)
{
    return addCharge(amount, now, Millis(-1));
}

uint64_t TeamQuota::transfer(double amount, Millis now)
{
    return addCharge(amount, now, now + transferWindow);
}

void TeamQuota::settle(uint64_t charge, double unused, Millis now)
{
    refill(now);
    const auto entry = m_charges.find(charge);
    if (entry == m_charges.end()) {
        return;
    }
    const double refunded = std::max(0.0, std::min({unused, entry->second.leastHeadroom, entry->second.amount}));
    m_charges.erase(entry);
    // With a smaller charge from the start, the bucket would have had less headroom for other refunds too.
    for (auto &[number, other] : m_charges) {
        other.leastHeadroom -= refunded;
    }
    m_level = std::max(m_level, std::min(m_level + refunded, capacityNow(now)));
    updateLeastHeadroom(now);
}

}
