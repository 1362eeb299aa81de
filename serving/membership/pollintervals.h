#pragma once

#include "core/units.h"

namespace vanillaspar::serving
{

/** How often a host polls the store. */
struct PollIntervals
{
    Millis configWatchTimeout; ///< How long the store may hold a watch of the configuration.
    Millis watchTimeout; ///< How long it may hold a watch of other records.
    /**
     * From changes of the replicas' records to the next watch of them. Replicas write often, and mostly about their
     * adapters.
     */
    Millis backendPollInterval;
    Millis versionPollInterval; ///< From changes of the adapter versions to the next watch of them.
    Millis coordinationPollInterval; ///< From changes of the hosts' and owners' records to the next watch of them.
    /**
     * From the last answer about replicas to a poll that a heartbeat's newer revision triggers. It need not be short
     * for a leaving replica, which the heartbeat itself names.
     */
    Millis hintedPollInterval;
    Millis configRefreshAge; ///< The configuration is polled at once if it wasn't known to be current for this long.
    Millis contactTimeout; ///< After this long without an answer from the store a host sends callers elsewhere.
};

// The leader polls often: its heartbeats carry the freshness of its copies, and leaving replicas, to all other hosts.
inline constexpr PollIntervals leaderPolling {.configWatchTimeout = Millis(1200),
                                              .watchTimeout = Millis(10000),
                                              .backendPollInterval = Millis(400),
                                              .versionPollInterval = Millis(300),
                                              .coordinationPollInterval = Millis(400),
                                              .hintedPollInterval = Millis(0),
                                              .configRefreshAge = Millis(2200),
                                              .contactTimeout = Millis(3000)};
// Hubs poll when a heartbeat reports a change, and otherwise often enough to notice a leaving replica within the time
// in which it may still get work.
inline constexpr PollIntervals hubPolling {.configWatchTimeout = Millis(2500),
                                           .watchTimeout = Millis(10000),
                                           .backendPollInterval = Millis(1400),
                                           .versionPollInterval = Millis(300),
                                           .coordinationPollInterval = Millis(400),
                                           .hintedPollInterval = Millis(0),
                                           .configRefreshAge = Millis(2200),
                                           .contactTimeout = Millis(3000)};
// Leaf hosts poll only when a heartbeat reports a change, as each call has a price and they are many. The freshness of
// their copies is confirmed by the hub, so they need to reach the store themselves only for the next change.
inline constexpr PollIntervals leafPolling {.configWatchTimeout = Millis(20000),
                                            .watchTimeout = Millis(25000),
                                            .backendPollInterval = Millis(20000),
                                            .versionPollInterval = Millis(1000),
                                            .coordinationPollInterval = Millis(2000),
                                            .hintedPollInterval = Millis(3000),
                                            .configRefreshAge = Millis(3500),
                                            .contactTimeout = Millis(30000)};

// With the record relay: hosts that read another host's copies ask it, which costs the store nothing. What they send to
// the store when that host fails must keep the freshness of copies that others rely on.
inline constexpr PollIntervals relayedPolling {.configWatchTimeout = Millis(800),
                                               .watchTimeout = Millis(600),
                                               .backendPollInterval = Millis(500),
                                               .versionPollInterval = Millis(100),
                                               .coordinationPollInterval = Millis(100),
                                               .hintedPollInterval = Millis(0),
                                               .configRefreshAge = Millis(2200),
                                               .contactTimeout = Millis(3000)};
// The host whose copies all others read, in the end. Two watches and the interval between them must be shorter than
// oldestRelayedCopy, less the time for which a request is held, so that its copies always count as proven.
inline constexpr PollIntervals relayRootPolling {.configWatchTimeout = Millis(800),
                                                 .watchTimeout = Millis(600),
                                                 .backendPollInterval = Millis(400),
                                                 .versionPollInterval = Millis(300),
                                                 .coordinationPollInterval = Millis(400),
                                                 .hintedPollInterval = Millis(0),
                                                 .configRefreshAge = Millis(2200),
                                                 .contactTimeout = Millis(3000)};

}
