#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <cstdint>
#include <string>
#include <variant>

namespace vanillaspar
{

/** Generates text for a prompt with an adapter that is resident in the replica. */
struct GenerateCall
{
    RequestId request;
    AdapterRef adapter;
    std::string prompt;
    Tokens maxTokens;
    uint64_t resumeFrom = 0; ///< Number of pieces at the start of the answer that the server omits.
    bool isInteractive = true;
    Epoch epoch; ///< Fencing number of the calling owner.
};

/** Orders a replica to load or unload an adapter. */
struct OrderCall
{
    enum class Order
    {
        Load,
        Unload,
        Fence, ///< Only raises the fencing number that the replica accepts.
    };

    Order order = Order::Load;
    AdapterRef adapter; ///< Empty for Order::Fence.
    Epoch epoch; ///< Fencing number of the calling owner.
};

/** Requests the state of a replica. */
struct StateCall
{
};

/** Calls a service other than text generation. */
struct ServiceCall
{
    RequestId request;
    RouteName route;
    std::string body;
};

/** Call of a backend server. It must not contain a caller's key. */
struct BackendCall
{
    uint64_t id = 0; ///< Unique in the node; returned in BackendEvent::call.
    ReplicaId replica;
    std::string address; ///< Network address of the replica.
    std::variant<GenerateCall, OrderCall, StateCall, ServiceCall> work;
};

}
