#pragma once

#include "cluster/messages/fleet.h"

#include <cstdint>

namespace vanillaspar::serving
{

/** The requests that a backend server is executing or has queued. */
struct ReplicaLoad
{
    int64_t running = 0; ///< Number of requests.
    int64_t tokens = 0; ///< Prompt and output tokens of these requests.
    int64_t pendingPrefill = 0; ///< Prompt tokens of requests whose response has not started.

    /**
     * Adds or subtracts the use that a host reports.
     *
     * @param use the requests of one host at this server.
     * @param sign 1 to add, -1 to subtract.
     */
    void add(const ReplicaUse &use, int64_t sign)
    {
        running += sign * use.running;
        tokens += sign * use.tokens;
        pendingPrefill += sign * use.pendingPrefill;
    }
    ReplicaLoad operator+(const ReplicaLoad &other) const
    {
        return {running + other.running, tokens + other.tokens, pendingPrefill + other.pendingPrefill};
    }
};

}
