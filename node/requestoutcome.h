#pragma once

#include "core/ids.h"
#include "core/refusal.h"
#include "core/units.h"

#include <optional>
#include <string>

namespace vanillaspar
{

/** How a request ended, for metrics. */
struct RequestOutcome
{
    TeamId team;
    std::string priority; ///< Class: "interactive", "batch" or "service".
    std::optional<RefusalCode> refusal; ///< Empty if it got its whole answer.
    Millis admittedAt {-1}; ///< When its tokens were granted; negative if they weren't.
    Millis timeToFirstPiece; ///< From its arrival to the first piece.
    Millis totalTime;
    Millis loadWait; ///< Time that it waited for its adapter to be loaded.
    Tokens used;
};

}
