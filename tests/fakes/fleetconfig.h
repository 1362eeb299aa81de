#pragma once

#include "tests/fakes/servingfakes.h"

namespace vanillaspar::serving
{

inline constexpr size_t fleetTeams = 5;
inline constexpr int64_t fleetEngineSlots = 24;
inline constexpr double fleetColdOvershoot = 1.5; // of a pool with a cold rate
inline constexpr double fleetColdSlack = 5; // requests in a second

/**
 * @param coldPerSecond cold rate of the engine pool.
 * @return a configuration with one engine pool, and with teams whose keys are "key0", "key1" and so on.
 */
inline ServingConfig fleetConfig(double coldPerSecond = 0)
{
    ServingConfig config = makeConfig();
    EngineSpec &engine = *config.pools[PoolId("engines")].engine;
    engine.slots = fleetEngineSlots;
    config.pools[PoolId("engines")].coldPerSecond = coldPerSecond;
    config.teams.clear();
    config.teamByKey.clear();
    for (size_t i = 0; i < fleetTeams; ++i) {
        Team team;
        team.id = TeamId("team" + std::to_string(i));
        config.teamByKey["key" + std::to_string(i)] = i;
        config.teams.push_back(team);
    }
    return config;
}

}
