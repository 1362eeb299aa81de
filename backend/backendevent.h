#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <cstdint>
#include <map>
#include <string>
#include <variant>

namespace vanillaspar
{

/** No connection was established, so nothing was sent. */
struct NotSent
{
};

/** The backend server refused the call and executed nothing. */
struct Rejected
{
    enum class Reason
    {
        NotResident, ///< The adapter isn't resident.
        StaleFence, ///< The server has accepted a higher fencing number.
        Busy,
        Leaving,
        Failed, ///< An order failed.
    };

    Reason reason = Reason::Failed;
    std::string detail;
};

/** The connection was lost after the call was sent. It may have been executed, partly or completely. */
struct Broken
{
};

/** Part of a streamed answer. */
struct Piece
{
    AdapterRef adapter; ///< The adapter that generated the text, as stated by the server.
    uint64_t index = 0; ///< Position in the whole answer, from 0.
    std::string text;
};

/** The answer is complete. */
struct Generated
{
    uint64_t pieces = 0; ///< Number of pieces of the whole answer, including those omitted by GenerateCall::resumeFrom.
    Tokens used; ///< Tokens of prompt and answer.
};

/** An order was executed. */
struct OrderDone
{
    Incarnation incarnation;
};

/** State of a replica. It may be older than the call by the server's report lag. */
struct StateReport
{
    Incarnation incarnation;
    int64_t running = 0; ///< Requests that are being executed.
    std::map<AdapterRef, int64_t> adapters; ///< Resident adapters with their running requests.
};

/** Answer to a ServiceCall. */
struct ServiceAnswer
{
    int status = 200; ///< HTTP status.
    std::string body;
};

/** Progress or result of a BackendCall. */
struct BackendEvent
{
    uint64_t call = 0; ///< BackendCall::id.
    ReplicaId replica;
    std::variant<NotSent, Rejected, Broken, Piece, Generated, OrderDone, StateReport, ServiceAnswer> what;
};

}
