#pragma once

#include <string>

namespace vanillaspar::serving
{

/** Features of the serving core that a deployment may ask for. All are off by default. */
struct ServingFeatures
{
    bool learnedCapacity = false; ///< Learns how much each replica handles well, and chooses replicas by it.
    bool overloadControl = false; ///< Shares scarce capacity between kinds of request and teams, over all hosts.
    bool adapterPlacement
        = false; ///< Decides over all hosts which adapters are worth a transfer and which are evicted.
    bool recordRelay = false; ///< Hosts read the store's records from hubs.

    /**
     * @param names of features, separated by commas: learned-capacity, overload-control, adapter-placement,
     *     record-relay; empty for none.
     * @throws DocumentError if a name is unknown.
     */
    static ServingFeatures fromNames(const std::string &names);
};

}
