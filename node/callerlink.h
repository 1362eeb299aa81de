#pragma once

#include "core/refusal.h"
#include "core/units.h"

#include <cstdint>
#include <string>

namespace vanillaspar
{

/** The callers, as one node sees them. Each exchange gets pieces, then exactly one of finish, refuse or answer. */
class CallerLink
{
public:
    virtual ~CallerLink() = default;

    /** Passes on one piece of an answer, in order. */
    virtual void sendPiece(uint64_t caller, const std::string &text) = 0;
    /** Ends a complete answer. */
    virtual void finish(uint64_t caller, Tokens used) = 0;
    /** Refuses, before or in the middle of an answer. */
    virtual void refuse(uint64_t caller, const Refusal &refusal) = 0;
    /** Passes on the whole answer of a plain service. */
    virtual void sendAnswer(uint64_t caller, int status, const std::string &body) = 0;
};

}
