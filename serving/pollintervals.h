#pragma once

#include "core/units.h"

namespace vanillaspar::serving
{

/** How closely a host follows the store. */
struct PollIntervals
{
    Millis configWatchTimeout; ///< How long the store may hold a watch of the configuration.
    Millis watchTimeout; ///< The same for the other records.
    Millis backendPollInterval; ///< Between two watches of the replicas, which write often and mostly about adapters.
    Millis versionPollInterval; ///< Between two watches of adapter versions, if there was news.
    Millis coordinationPollInterval; ///< The same for hosts and owners.
    Millis hintedPollInterval; ///< Between two watches of replicas if a heartbeat tells of news; leaving is told by the
                               ///< heartbeat itself.
    Millis configRefreshAge; ///< A proof of the configuration older than this is renewed at once.
    Millis contactTimeout; ///< Without an answer of the store for so long a host sends callers elsewhere.
};

// The first host follows closely; its proofs, and what matters of the replicas, reach the others with its heartbeats.
inline constexpr PollIntervals leaderPolling {.configWatchTimeout = Millis(1200),
                                              .watchTimeout = Millis(10000),
                                              .backendPollInterval = Millis(400),
                                              .versionPollInterval = Millis(300),
                                              .coordinationPollInterval = Millis(400),
                                              .hintedPollInterval = Millis(0),
                                              .configRefreshAge = Millis(2200),
                                              .contactTimeout = Millis(3000)};
// Hubs ask when they hear of a change, and on their own within the time in which a leaving replica may get work.
inline constexpr PollIntervals hubPolling {.configWatchTimeout = Millis(2500),
                                           .watchTimeout = Millis(10000),
                                           .backendPollInterval = Millis(1400),
                                           .versionPollInterval = Millis(300),
                                           .coordinationPollInterval = Millis(400),
                                           .hintedPollInterval = Millis(0),
                                           .configRefreshAge = Millis(2200),
                                           .contactTimeout = Millis(3000)};
// Hosts that a hub speaks for ask only when they hear of a change; every call is priced, and there are many of them.
// Their proofs come from the hub, so that their own way to the store matters only for the next change.
inline constexpr PollIntervals leafPolling {.configWatchTimeout = Millis(20000),
                                            .watchTimeout = Millis(25000),
                                            .backendPollInterval = Millis(20000),
                                            .versionPollInterval = Millis(1000),
                                            .coordinationPollInterval = Millis(2000),
                                            .hintedPollInterval = Millis(3000),
                                            .configRefreshAge = Millis(3500),
                                            .contactTimeout = Millis(30000)};

}
