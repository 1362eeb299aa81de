#pragma once

#include "core/ids.h"
#include "core/units.h"
#include "serving/interfaces/backend.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace vanillaspar::serving
{

/** A command to a replica's engine to load or unload weights. */
struct EngineOrder
{
    bool isLoad = true; ///< Load if true, unload if false.
    std::string weights; ///< "model" for a base model, "model/adapter" for an adapter.
    HostId issuer; ///< The host that sends the order.
    Epoch fencingNumber; ///< Of the issuer's entry in the owner table.
    /** The engine answers with a conflict unless it has accepted exactly this many orders before; unset for no check.
     */
    std::optional<int64_t> expectedOrderCount;
};

/** An engine's response to an order. */
enum class OrderResult
{
    Accepted, ///< The engine is carrying it out.
    Completed, ///< The engine's state already matches, or the change took effect at once.
    Conflict, ///< Another order is in progress, or the order count differs from the expected one.
    Rejected, ///< The engine will never accept this order.
    WrongServer, ///< A different server, or another incarnation of the replica, has this address.
    NotSent,
    Unknown, ///< No response; the order may still be carried out later.
};

/** Sends orders to engines and queries what they hold. */
class OrderPort
{
public:
    virtual ~OrderPort() = default;

    /**
     * Sends one order.
     *
     * @param backend the replica whose engine gets the order.
     * @param handler called with the result.
     */
    virtual void sendOrder(const Backend &backend, const EngineOrder &order, std::function<void(OrderResult)> handler)
        = 0;
    /**
     * Queries what an engine holds.
     *
     * @param handler called with the report, whose content is a few hundred milliseconds old; std::nullopt if the
     * engine didn't respond.
     */
    virtual void fetchReport(const Backend &backend, std::function<void(std::optional<EngineResidency>)> handler) = 0;
};

}
