#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <string>
#include <vector>

namespace vanillaspar
{

/** What a node knows of itself before it reads anything from the platform. */
struct NodeSettings
{
    HostId host;
    DomainId domain;
    std::string peerAddress; ///< IP number and port for other nodes.
    std::string callerAddress; ///< IP number and port that callers are told.
    std::vector<std::string> seeds; ///< Peer addresses to start from when the platform is down.
    uint64_t seed = 1; ///< Start of the node's random numbers.

    Millis heartbeatInterval {500};
    Millis renewInterval {3000};
    Millis shortLease {10'000}; ///< After it a successor may take over with proof.
    Millis longLease {600'000}; ///< After it a successor may take over without proof.
    Millis leaseMargin {2000}; ///< Allowance for clocks that run at different speeds.
    Millis confirmLimit {5000}; ///< Age at which an unconfirmed configuration stops serving keys.
    Millis isolationLimit {2500}; ///< Silence of the platform and of all peers after which no keys are served.
    Millis admissionWait {2000}; ///< Longest wait for a team's tokens.
    Millis defaultDeadline {30'000};
    Millis longestDeadline {120'000};
    Millis reportLag {2000}; ///< How old an engine's report may be.
    Millis maxOrderDelay {60'000}; ///< How long an order without an answer may still arrive.
    Millis claimRetention {3'600'000}; ///< How long an idempotency key is remembered.
    bool servesUnconfirmed = false; ///< Whether keys are served with a configuration that can't be confirmed.
};

}
