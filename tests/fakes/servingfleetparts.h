#pragma once

#include "tests/fakes/servingfleet.h"

namespace vanillaspar::serving
{

/** A request at an engine. */
struct ServingFleet::Run
{
    size_t host = 0;
    int64_t incarnation = 0; ///< Of the host's process.
    uint64_t attempt = 0;
    uint64_t exchange = 0;
    bool isCrashing = false;
    Millis nextAt; ///< When its next event, or the crash, is due.
    int64_t events = -1; ///< Sent so far; negative before it begins.
};

/** An engine at an address, in one incarnation after the other. */
struct ServingFleet::Engine
{
    std::string address;
    ReplicaId id;
    Backend backend;
    bool isRunning = false;
    Millis startsAt; ///< When it comes back.
    Millis entryEndsAt {-1}; ///< When the entry of its last incarnation is removed; negative if it was.
    Millis crashAt {-1}; ///< When an answer that it has begun ends it; negative if none does.
    std::vector<Run> runs;
};

}
