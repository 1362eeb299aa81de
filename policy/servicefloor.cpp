#include "policy/servicefloor.h"

#include <algorithm>
#include <cmath>

namespace vanillaspar
{

namespace
{

// The floor of a kind is a quarter of what all requests get; a little more, as the counts lag behind.
constexpr double floorFraction = 0.3;
constexpr double averagingMillis = 4000; // a host of a large fleet gets few requests of a kind in a second
constexpr size_t maxKinds = 1024;

}

void ServiceFloor::Counts::decayTo(Millis now)
{
    const double kept = std::exp(-static_cast<double>(std::max(now - countedAt, Millis(0)).value) / averagingMillis);
    arrived *= kept;
    sent *= kept;
    countedAt = std::max(countedAt, now);
}

void ServiceFloor::onArrived(const std::string &kind, Millis now)
{
    if (m_kinds.size() >= maxKinds && m_kinds.count(kind) == 0) {
        m_kinds.clear(); // routes and teams come and go
    }
    Counts &counts = m_kinds[kind];
    counts.decayTo(now);
    counts.arrived += 1;
}

void ServiceFloor::onSent(const std::string &kind, Millis now)
{
    const auto counts = m_kinds.find(kind);
    if (counts != m_kinds.end()) {
        counts->second.decayTo(now);
        counts->second.sent += 1;
    }
}

void ServiceFloor::onPoolArrived(Millis now)
{
    m_pool.decayTo(now);
    m_pool.arrived += 1;
}

void ServiceFloor::onPoolSent(Millis now)
{
    m_pool.decayTo(now);
    m_pool.sent += 1;
}

double ServiceFloor::deficit(const std::string &kind, Millis now) const
{
    const auto known = m_kinds.find(kind);
    if (known == m_kinds.end() || m_pool.arrived <= 0) {
        return 0;
    }
    Counts counts = known->second;
    counts.decayTo(now);
    const double share = std::min(m_pool.sent / m_pool.arrived, 1.0); // both decay alike
    return floorFraction * share * counts.arrived - counts.sent;
}

}
