#pragma once

#include "core/units.h"

#include <cstdint>

namespace vanillaspar
{

/** How the requests that a cold replica may get are divided between its owner's permits and the hosts' own shares. */
struct ColdBudget
{
    /** A request starts within this time after its permit was asked for; the rest of the permit's life is lost. */
    static constexpr Millis permitLife {300};
    /**
     * The owner counts what it issued over this time: a second, the permits' life, and 200 ms by which the ways of two
     * requests to the replica may differ.
     */
    static constexpr Millis permitWindow {1500};
    /** From one request that a host starts without a permit to the next: a second and the same 200 ms. */
    static constexpr Millis shareInterval {1200};

    int64_t permits = 0; ///< That the owner issues at most in permitWindow.
    int64_t shareHolders = 0; ///< Hosts that may each start one request in shareInterval without a permit.

    /**
     * Divides the limit of a pool.
     *
     * @param coldPerSecond requests per second that a cold replica tolerates.
     * @param overshoot its multiple that is allowed in any one second.
     * @param slack requests that are allowed in addition.
     */
    static ColdBudget of(double coldPerSecond, double overshoot, double slack);
};

}
