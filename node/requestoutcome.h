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
    std::optional<RefusalCode> refusal; ///< Empty if the answer was complete.
    Millis admittedAt {-1}; ///< When its tokens were granted; negative if none were.
    Millis timeToFirstPiece; ///< From arrival; until the end if there were no pieces.
    Millis totalTime; ///< From arrival to the end.
    Millis loadWait; ///< Time spent waiting for the adapter to be loaded.
    Tokens used; ///< Actual tokens of an answer; the estimate for a service or an unknown outcome.
};

}
