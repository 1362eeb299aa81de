#pragma once

#include "cluster/messages/fleet.h"

#include <cstdint>

namespace vanillaspar::serving
{

/** Requests at a backend server. */
struct ReplicaLoad
{
    int64_t running = 0;
    int64_t tokens = 0; ///< Of these requests' prompts and answers.
    int64_t pendingPrefill = 0; ///< Prompt tokens of those that have not begun to answer.

    /** Adds or takes off what a host reports. @param sign 1 or -1. */
    void add(const ReplicaUse &use, int64_t sign)
    {
        running += sign * use.running;
        tokens += sign * use.tokens;
        pendingPrefill += sign * use.unread;
    }
    ReplicaLoad operator+(const ReplicaLoad &other) const
    {
        return {running + other.running, tokens + other.tokens, pendingPrefill + other.pendingPrefill};
    }
};

}
