#pragma once

#include "core/ids.h"

#include <string>
#include <vector>

namespace vanillaspar
{

/** Maps a name in callers' requests to an adapter or to a pool of plain services. */
struct Route
{
    RouteName name;
    std::vector<TeamId> teams; ///< The teams that may use it.
    bool isOpen = false; ///< Whether callers need no API key.
    AdapterRef adapter; ///< Empty if the route leads to a pool of plain services.
    PoolId pool; ///< Empty if the route leads to an adapter.
    bool isIdempotent = true; ///< Whether a request may be executed more than once, so that it can be retried.
    std::string priority = "interactive"; ///< Priority class of its requests: "interactive" or "batch".

    bool operator==(const Route &) const = default;
};

}
