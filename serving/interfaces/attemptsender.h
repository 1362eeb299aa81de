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

/** Properties of one attempt to execute a request at a replica. */
struct AttemptOptions
{
    Millis timeLeft; ///< The replica cancels the request after this time.
    std::optional<TeamId> team; ///< Team to charge; absent on a public route without a key.
    int priority = 0; ///< 0 is the most urgent.
    bool isRepeated = false; ///< Whether an earlier attempt was sent to the same replica.
    int64_t expectedVersion = 0; ///< A replica that holds another version refuses the request; 0 for any.
    std::string resumeAfter; ///< Id of the last event that the caller received; empty to start the stream anew.
};

/** Status and headers of a replica's response, with what they say about the execution of the request. */
struct AttemptHead
{
    HttpHead &head;
    bool isSigned = false; ///< Whether it carries a valid signature of the replica.
    bool wasNotExecuted = false; ///< Whether the replica states that it did not execute the request.
    bool isMisdirected = false; ///< The weights aren't resident, or another server uses the address.
    bool isWrongServer = false; ///< Another server uses the address.
    std::optional<int64_t> weightsVersion = std::nullopt; ///< On which the replica answers, if it says so.
    bool promisesNotRun = false; ///< Whether callers take the status as proof that the request was not executed.
};

/** Sends requests to replicas. Responses go to an AttemptListener. */
class AttemptSender
{
public:
    virtual ~AttemptSender() = default;

    /**
     * Sends a request.
     *
     * @param attempt a new number that the listener's calls refer to.
     * @param backend the replica to send to.
     * @param request the request as the caller sent it.
     * @param options what the replica is told besides the request.
     */
    virtual void send(uint64_t attempt, const Backend &backend, const ClientRequest &request,
                      const AttemptOptions &options)
        = 0;
    /** Closes the attempt's connection, which cancels the request at the replica. The listener isn't called again. */
    virtual void cancel(uint64_t attempt) = 0;
};

}
