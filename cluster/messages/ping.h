#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <vector>

namespace vanillaspar
{

/** How many requests a replica's owner has for it. */
struct ReplicaLoad
{
    ReplicaId replica;
    uint32_t outstanding = 0; ///< Queued and running requests.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(replica, outstanding);
    }
};

/** Heartbeat with the sender's state. The receiver responds with a Pong. */
struct Ping
{
    uint64_t sequence = 0;
    Incarnation incarnation;
    std::string peerAddress;
    ConfigVersion configVersion;
    ObjectVersion clusterVersion;
    std::vector<ReplicaLoad> loads; ///< Of the replicas that the sender owns.
    std::vector<ReplicaId> leaving; ///< Replicas that the sender knows to be shutting down.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(sequence, incarnation, peerAddress, configVersion, clusterVersion, loads, leaving);
    }
};

}
