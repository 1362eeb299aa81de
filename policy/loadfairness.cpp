#include "policy/loadfairness.h"

#include <algorithm>
#include <cmath>

namespace vanillaspar
{

namespace
{

constexpr double halfLife = 10'000; // of a load's weight, in milliseconds
constexpr Millis requestLifetime(150); // waiting hosts repeat their requests more often
constexpr double tolerance = 0.5; // loads by which a team may be ahead of another

}

double LoadFairness::decayedLoads(const TeamLoads &teamLoads, Millis now)
{
    return teamLoads.loads * std::exp2(-static_cast<double>((now - teamLoads.countedAt).value) / halfLife);
}

void LoadFairness::onLoadRequested(const TeamId &team, Millis now)
{
    m_teams[team].requestedAt = now;
}

bool LoadFairness::mayLoad(const TeamId &team, Millis now) const
{
    const auto own = m_teams.find(team);
    const double loads = own == m_teams.end() ? 0 : decayedLoads(own->second, now);
    return std::all_of(m_teams.begin(), m_teams.end(), [&](const auto &entry) {
        const bool isWaiting = entry.second.requestedAt + requestLifetime >= now;
        return !isWaiting || loads <= decayedLoads(entry.second, now) + tolerance;
    });
}

void LoadFairness::onLoadGranted(const TeamId &team, Millis now)
{
    TeamLoads &teamLoads = m_teams[team];
    teamLoads.loads = decayedLoads(teamLoads, now) + 1;
    teamLoads.countedAt = now;
    teamLoads.requestedAt = Millis(-1'000'000); // further loads need a new request
}

}
