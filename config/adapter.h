#pragma once

#include "core/ids.h"

#include <string>

namespace vanillaspar
{

/** One version of an adapter. Its team and pool can't change after the version was accepted. */
struct Adapter
{
    AdapterRef ref; ///< "name@version".
    TeamId team; ///< The only team whose routes may lead to it.
    PoolId pool; ///< The pool of engines that run its base model.

    bool operator==(const Adapter &) const = default;
};

}
