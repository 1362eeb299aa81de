#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <string>

namespace vanillaspar::serving
{

/** What a host needs to know of itself and of the bounds it must keep. */
struct ServingSettings
{
    HostId host;
    DomainId domain;
    std::string peerAddress; ///< IP number and port for datagrams of other hosts.
    std::string callerAddress; ///< What callers are told to connect to.
    double capacity = 1; ///< Processor cores of this host.
    Millis revokeLimit {5000}; ///< A withdrawn key must not work longer than this.
    Millis orderLease {3000}; ///< Orders of two hosts to one replica must be further apart than this.
    Millis versionLimit {5000}; ///< An older version of an adapter must not be used longer than this.
    Millis shutdownGrace {8000}; ///< The process is killed after it.
    double retryRatio = 0.2; ///< Repeats for each request of a pool, over all hosts.
    double retryAllowance = 52; ///< Repeats beyond these, over all hosts.
    Millis retryWindow {10000};
};

}
