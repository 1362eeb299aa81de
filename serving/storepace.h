#pragma once

#include "core/units.h"

namespace vanillaspar::serving
{

/** How closely a host follows the store. */
struct StorePace
{
    Millis configWait; ///< How long the store may hold a watch of the configuration.
    Millis longWait; ///< The same for the other records.
    Millis backendGap; ///< Between two watches of the replicas, which write often and mostly about adapters.
    Millis
        hintSpacing; ///< Between two such watches if a beat tells of a change; that a replica leaves it tells itself.
    Millis proofRefresh; ///< A proof of the configuration older than this is renewed at once.
    Millis contactLimit; ///< A host that hasn't reached the store for so long sends callers elsewhere.
    bool isContactByAnswer; ///< Whether contact counts from the last answer, or from the last proof, which is older.
};

// The first host follows closely; its proofs and the revisions of changes that matter reach the others with its beats.
inline constexpr StorePace firstPace {Millis(1200), Millis(10000), Millis(400), Millis(0),
                                      Millis(2200), Millis(3500),  false};
// Hubs ask when they hear of a change, and on their own within the time in which a leaving replica may get work.
inline constexpr StorePace hubPace {Millis(2500), Millis(10000), Millis(1400), Millis(0),
                                    Millis(2200), Millis(3500),  false};
// Hosts that a hub speaks for ask only when they hear of a change; every call is priced, and there are many of them.
inline constexpr StorePace memberPace {Millis(8000), Millis(25000), Millis(20000), Millis(2000),
                                       Millis(3500), Millis(12000), true};

}
