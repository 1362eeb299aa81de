#pragma once

#include "core/ids.h"
#include "core/units.h"
#include "net/httphead.h"

#include <cstdint>
#include <optional>

namespace vanillaspar::serving
{

struct Backend;
struct ClientRequest;

/** On what options a request goes to a replica. */
struct AttemptOptions
{
    Millis timeLeft; ///< The replica stops after it.
    std::optional<TeamId> team; ///< For whom it runs; nothing on a public route without a key.
    int priority = 0; ///< 0 is the most urgent.
    bool isRetryable = false;
    std::string resumeAfter; ///< Id of the last event that the caller has; empty starts the stream anew.
};

/** The start of a replica's answer, with what it says about the request's execution. */
struct AttemptHead
{
    HttpHead &head;
    bool isSigned = false; ///< Whether it bears the replica's signature.
    bool wasNotExecuted = false; ///< Whether the replica says that it did not run the request.
    bool isMisdirected = false; ///< The weights aren't there, or another server has the address.
    bool isWrongServer = false; ///< Another server has the address.
};

/** Sends requests to replicas; what comes back goes to an AttemptListener. */
class AttemptSender
{
public:
    virtual ~AttemptSender() = default;

    virtual void send(uint64_t attempt, const Backend &backend, const ClientRequest &request,
                      const AttemptOptions &options)
        = 0;
    /** Closes the attempt's connection, which makes the replica stop; nothing more is heard of it. */
    virtual void cancel(uint64_t attempt) = 0;
};

}
