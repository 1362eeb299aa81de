#pragma once

#include "core/ids.h"

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <string>
#include <vector>

namespace vanillaspar
{

/** A replica that is cold, and for how long. */
struct ColdReplicaReport
{
    uint32_t replica = 0; ///< Short hash of the replica's id.
    uint32_t leftMs = 0; ///< Milliseconds until it is no longer cold, as of the sending.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(replica, leftMs);
    }
};

/** All replicas that a hub knows to be cold. */
struct ColdReport
{
    uint64_t echoedSequence = 0; ///< Sequence of the last heartbeat from the receiver.
    Incarnation echoedIncarnation; ///< The receiver's incarnation in that heartbeat.
    int64_t age = -1; ///< Milliseconds since the list was known to be complete; negative if it never was.
    std::vector<ColdReplicaReport> replicas;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(echoedSequence, echoedIncarnation, age, replicas);
    }
};

/** Requests permits to start requests at a cold replica from the replica's owner. */
struct ColdPermitRequest
{
    ReplicaId replica;
    uint64_t number = 0; ///< Of this request; its answer repeats it.
    uint16_t wanted = 0; ///< Number of requests to start.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(replica, number, wanted);
    }
};

/** The owner's answer. The permits expire a short time after the request for them was sent. */
struct ColdPermit
{
    ReplicaId replica;
    uint64_t number = 0; ///< Of the request that it answers.
    uint16_t granted = 0; ///< Number of requests that may be started.
    uint32_t retryInMs = 0; ///< Milliseconds until the next permit, if none was granted.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(replica, number, granted, retryInMs);
    }
};

/** The failure domains that are evacuated at one position of the store. */
struct EvacuationReport
{
    int64_t era = 0; ///< Of the store.
    int64_t revision = 0; ///< Of the store in that era.
    std::vector<DomainId> domains;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(era, revision, domains);
    }
};

}
