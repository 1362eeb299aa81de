#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <map>

namespace vanillaspar
{

/**
 * Decides whose adapter is loaded next when the weight store allows fewer loads than are wanted.
 *
 * Among the teams that have asked lately, the one with the fewest recent loads goes first, so that a team that scans
 * many cold adapters delays its own loads and not the others'.
 */
class LoadFairness
{
public:
    /** Notes that @p team wants a load now. */
    void onLoadRequested(const TeamId &team, Millis now);
    /** @return whether no other team that asked lately has had fewer loads. */
    bool mayLoad(const TeamId &team, Millis now) const;
    /** Notes that @p team got a load. */
    void onLoadGranted(const TeamId &team, Millis now);

private:
    struct TeamLoads
    {
        double loads = 0; ///< Decayed number of loads.
        Millis countedAt;
        Millis requestedAt {-1'000'000};
    };

    static double decayedLoads(const TeamLoads &teamLoads, Millis now);

    std::map<TeamId, TeamLoads> m_teams;
};

}
