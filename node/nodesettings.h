#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <string>
#include <vector>

namespace vanillaspar
{

/** Settings that a node needs before it reads anything from the platform. */
struct NodeSettings
{
    HostId host;
    DomainId domain;
    std::string peerAddress; ///< IP address and port for other nodes.
    std::string callerAddress; ///< IP address and port that callers are given.
    std::vector<std::string> seeds; ///< Peer addresses for bootstrapping while the platform is down.
    uint64_t seed = 1; ///< Seed of the node's random number generator.

    Millis heartbeatInterval {500};
    Millis renewInterval {3000};
    Millis shortLease {10'000}; ///< Unrenewed for this long, the owner can be replaced if it is proven dead.
    Millis longLease {600'000}; ///< Unrenewed for this long, the owner can be replaced without proof.
    Millis leaseMargin {2000}; ///< Allowance for clock drift between hosts.
    Millis confirmLimit {5000}; ///< Age above which an unconfirmed configuration serves no API keys.
    Millis isolationLimit {2500}; ///< Silence of the platform and all peers after which no API keys are served.
    Millis admissionWait {2000}; ///< Maximum time a request waits for its team's tokens.
    Millis defaultDeadline {30'000};
    Millis longestDeadline {120'000};
    Millis reportLag {2000}; ///< Maximum age of an engine's report.
    Millis maxOrderDelay {60'000}; ///< How long an unanswered order may still reach its backend server.
    Millis claimRetention {3'600'000}; ///< How long an idempotency key is remembered.
    bool servesUnconfirmed = false; ///< Whether API keys are served with an unconfirmed configuration.
};

}
