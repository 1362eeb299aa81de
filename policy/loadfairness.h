#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <map>

namespace vanillaspar
{

/**
 * Decides which team's adapter is loaded next while more loads are wanted than the weight store allows.
 *
 * Among the teams that requested a load recently, the one with the fewest recent loads goes first. A team that scans
 * many cold adapters so delays its own loads, not those of other teams.
 */
class LoadFairness
{
public:
    /** Records that @p team wants a load; to be repeated at least every 150 ms while it does. */
    void onLoadRequested(const TeamId &team, Millis now);
    /** @return whether no team that requested a load recently has had clearly fewer loads than @p team. */
    bool mayLoad(const TeamId &team, Millis now) const;
    /** Records a load granted to @p team, which ends the team's request. */
    void onLoadGranted(const TeamId &team, Millis now);

private:
    struct TeamLoads
    {
        double loads = 0; ///< Number of loads with exponential decay, as of countedAt.
        Millis countedAt;
        Millis requestedAt {-1'000'000};
    };

    static double decayedLoads(const TeamLoads &teamLoads, Millis now);

    std::map<TeamId, TeamLoads> m_teams;
};

}
