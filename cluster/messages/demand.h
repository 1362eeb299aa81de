#pragma once

#include "cluster/messages/fleet.h"

#include <cereal/types/vector.hpp>
#include <cstdint>
#include <vector>

namespace vanillaspar
{

/** Requests of one urgency level that wait for capacity of a pool and can still be in time. */
struct LevelDemand
{
    uint8_t level = 0; ///< 0 is the most urgent.
    uint16_t waiting = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(level, waiting);
    }
};

/** What the hosts of a report's scope want of a pool. */
struct PoolDemandReport
{
    uint32_t pool = 0; ///< Short hash of the pool's id.
    uint16_t sends = 0; ///< Requests sent to its replicas in the last two intervals of 100 ms.
    std::vector<LevelDemand> levels; ///< Ascending; levels without waiting requests are left out.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(pool, sends, levels);
    }
};

/** Demand for pools that are short of capacity. Counts for some hundred milliseconds; the next one replaces it. */
struct DemandReport
{
    HeartbeatScope scope = HeartbeatScope::SenderAndLeaves;
    std::vector<PoolDemandReport> pools;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(scope, pools);
    }
};

}
