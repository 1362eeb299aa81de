#pragma once

#include "core/units.h"

#include <cstdint>

namespace vanillaspar::serving
{

struct BackendState;

/** Limits how many requests this host starts at a replica. */
class StartLimit
{
public:
    virtual ~StartLimit() = default;

    /** @return whether no request may be started at the replica now. */
    virtual bool isBlocked(const BackendState &state, Millis now) const = 0;
    /** A request would be started at a replica that is blocked. @param exchange identifies the request. */
    virtual void onWanted(const BackendState &state, uint64_t exchange) = 0;
    /** A request is about to be sent to the replica. */
    virtual void onSending(const BackendState &state, Millis now) = 0;
    /** @return when a request may next be started at a replica that is blocked, as far as it can be estimated. */
    virtual Millis nextStart(const BackendState &state, Millis now) const = 0;
};

}
