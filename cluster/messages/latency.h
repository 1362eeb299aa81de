#pragma once

#include <cereal/types/vector.hpp>
#include <cstdint>
#include <vector>

namespace vanillaspar
{

/** How long a replica takes, from the observations of the hosts that the report covers. */
struct ReplicaLatencyReport
{
    uint32_t replica = 0; ///< Short hash of the replica's id.
    int16_t logRatio = 0; ///< Thousandths of the natural logarithm of observed by expected time.
    uint16_t weight = 0; ///< Tenths of observations that the ratio rests on; older ones count less.
    uint16_t age = 0; ///< Milliseconds since the newest of these observations.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(replica, logRatio, weight, age);
    }
};

/**
 * Latencies of replicas, sent along with heartbeats. Each report replaces the sender's last one. It covers the same
 * hosts as a heartbeat to the same receiver does.
 */
struct LatencyReport
{
    bool coversAllButReceiver = false; ///< Otherwise it covers the sender and its leaf hosts.
    std::vector<ReplicaLatencyReport> replicas;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(coversAllButReceiver, replicas);
    }
};

}
