#pragma once

#include "core/ids.h"

#include <string>

namespace vanillaspar
{

/** Identifies the owner of a replica, with the incarnation it had at lookup, so that a restart is noticed. */
struct OwnerRef
{
    HostId host;
    Incarnation incarnation;
    std::string address; ///< Address for other nodes; empty if the replica has no owner.
};

}
