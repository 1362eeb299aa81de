#pragma once

#include "core/ids.h"

#include <string>

namespace vanillaspar
{

/** A backend server: either an engine, which runs a base model with adapters, or a plain service. */
struct Replica
{
    ReplicaId id;
    PoolId pool; ///< Replicas of one pool can stand in for each other.
    DomainId domain; ///< Failure domain.
    std::string address; ///< IP number and port, such as "127.0.0.1:9000".
    bool isEngine = true; ///< Whether it is an engine rather than a plain service.
    bool checksFencingNumber = false; ///< Whether it refuses orders and requests with an outdated fencing number.
    int64_t slots = 8; ///< Number of adapters that it can hold at once.
    int64_t batchSize = 16; ///< Number of requests that it runs at once.

    bool operator==(const Replica &) const = default;
};

}
