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
    Millis versionGap; ///< Between two watches of adapter versions, if there was news.
    Millis coordinationGap; ///< The same for hosts and owners.
    Millis
        hintSpacing; ///< Between two watches of replicas if a beat tells of news; leaving is told by the beat itself.
    Millis proofRefresh; ///< A proof of the configuration older than this is renewed at once.
    Millis contactLimit; ///< Without an answer of the store for so long a host sends callers elsewhere.
};

// The first host follows closely; its proofs, and what matters of the replicas, reach the others with its beats.
inline constexpr StorePace firstPace {.configWait = Millis(1200),
                                      .longWait = Millis(10000),
                                      .backendGap = Millis(400),
                                      .versionGap = Millis(300),
                                      .coordinationGap = Millis(400),
                                      .hintSpacing = Millis(0),
                                      .proofRefresh = Millis(2200),
                                      .contactLimit = Millis(3000)};
// Hubs ask when they hear of a change, and on their own within the time in which a leaving replica may get work.
inline constexpr StorePace hubPace {.configWait = Millis(2500),
                                    .longWait = Millis(10000),
                                    .backendGap = Millis(1400),
                                    .versionGap = Millis(300),
                                    .coordinationGap = Millis(400),
                                    .hintSpacing = Millis(0),
                                    .proofRefresh = Millis(2200),
                                    .contactLimit = Millis(3000)};
// Hosts that a hub speaks for ask only when they hear of a change; every call is priced, and there are many of them.
// Their proofs come from the hub, so that their own way to the store matters only for the next change.
inline constexpr StorePace memberPace {.configWait = Millis(20000),
                                       .longWait = Millis(25000),
                                       .backendGap = Millis(20000),
                                       .versionGap = Millis(1000),
                                       .coordinationGap = Millis(2000),
                                       .hintSpacing = Millis(3000),
                                       .proofRefresh = Millis(3500),
                                       .contactLimit = Millis(30000)};

}
