#pragma once

#include "core/ids.h"
#include "core/units.h"
#include "serving/interfaces/servingfeatures.h"

#include <string>

namespace vanillaspar::serving
{

/** This host's identity and the limits that it must keep. */
struct ServingSettings
{
    HostId host;
    DomainId domain;
    std::string peerAddress; ///< IP address and port for datagrams from other hosts.
    std::string callerAddress; ///< Address to which callers connect.
    double capacity = 1; ///< Processor cores of this host.
    Millis revokeLimit {5000}; ///< A revoked key must be refused after this time at the latest.
    Millis orderLease {
        3000}; ///< A new owner must not send orders to a replica for this long after the previous owner's last one.
    Millis versionLimit {5000}; ///< An outdated version of an adapter must not be used longer than this.
    Millis shutdownGrace {8000}; ///< From SIGTERM until the process is killed.
    double retryRatio = 0.2; ///< Retry budget of a pool over all hosts: retries for each request in the window.
    double retryAllowance = 52; ///< Retries allowed over all hosts in addition to the ratio.
    Millis retryWindow {10000}; ///< Window in which requests and retries are counted.
    /** Requests that a cold replica may get in a second over all hosts, as a multiple of its pool's cold rate; 0 if
     * cold replicas aren't limited. */
    double coldOvershoot = 0;
    double coldSlack = 0; ///< Requests that it may get in a second in addition.
    Millis evacuationLimit {0}; ///< Time after which an evacuated failure domain gets nothing more; 0 without any.
    ServingFeatures features; ///< That the deployment asks for.
};

}
