#pragma once

#include "core/ids.h"

#include <string>

namespace vanillaspar
{

/** A backend server: a model engine or a plain service. */
struct Replica
{
    ReplicaId id;
    PoolId pool;
    DomainId domain;
    std::string address; ///< IP number and port, "127.0.0.1:9000".
    bool isEngine = true; ///< Whether it runs adapters; a plain service doesn't.
    bool checksFencingNumber = false; ///< Whether it refuses orders and requests with an old fencing number.
    int64_t slots = 8; ///< Adapters it holds at once.
    int64_t batchSize = 16; ///< Requests it runs at once.

    bool operator==(const Replica &) const = default;
};

}
