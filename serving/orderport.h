#pragma once

#include "core/ids.h"
#include "core/units.h"
#include "serving/backend.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace vanillaspar::serving
{

/** An order to an engine. */
struct EngineOrder
{
    bool isLoad = true; ///< Or an unload.
    std::string weights; ///< "model" or "model/adapter".
    HostId holder; ///< Who orders.
    Epoch fence;
    std::optional<int64_t> expectedCount; ///< The engine takes the order only if it has accepted so many before.
};

/** What an engine says to an order. */
enum class OrderResult
{
    Accepted, ///< It is being carried out.
    AlreadyHolds, ///< It holds already, or was done at once.
    Conflict, ///< Another order is under way, or the count differs.
    Rejected, ///< The engine will never take it.
    WrongServer, ///< Another server, or another life, has the address.
    NotSent,
    Unknown, ///< No answer; it may be carried out later.
};

/** Orders to engines and questions about what they hold. */
class OrderPort
{
public:
    virtual ~OrderPort() = default;

    virtual void order(const Backend &backend, const EngineOrder &order, std::function<void(OrderResult)> handler) = 0;
    /** Asks what the engine holds; its answer is some hundred milliseconds old. Nothing if it didn't answer. */
    virtual void report(const Backend &backend, std::function<void(std::optional<EngineResidency>)> handler) = 0;
};

}
