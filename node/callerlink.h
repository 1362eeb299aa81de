#pragma once

#include "core/refusal.h"
#include "core/units.h"

#include <cstdint>
#include <string>

namespace vanillaspar
{

/**
 * Sends answers to the callers of a node. Each request gets any number of pieces and then exactly one of finish() and
 * refuse(), or a single sendAnswer().
 */
class CallerLink
{
public:
    virtual ~CallerLink() = default;

    /** Sends the next piece of a streamed answer. */
    virtual void sendPiece(uint64_t caller, const std::string &text) = 0;
    /** Ends a streamed answer that is complete. */
    virtual void finish(uint64_t caller, Tokens used) = 0;
    /** Ends the request with a refusal, before an answer or in the middle of one. */
    virtual void refuse(uint64_t caller, const Refusal &refusal) = 0;
    /** Sends the whole answer of a plain service. */
    virtual void sendAnswer(uint64_t caller, int status, const std::string &body) = 0;
};

}
