#pragma once

#include "core/ids.h"

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <vector>

namespace vanillaspar
{

/** A request that had not progressed when its replica ended. */
struct PartCrashReport
{
    uint32_t end = 0; ///< Identifies the end of one incarnation of a replica.
    uint32_t address = 0; ///< Short hash of the replica's address.
    uint32_t request = 0; ///< Short hash of the last part of the request's prompt.
    uint32_t age = 0; ///< Milliseconds since the end.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(end, address, request, age);
    }
};

/** Crashes that count against a part of a prompt. */
struct SuspectPartReport
{
    PromptPartId part;
    std::vector<PartCrashReport> crashes;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(part, crashes);
    }
};

/** An answer on a part has progressed. */
struct ClearedPartReport
{
    PromptPartId part;
    uint32_t age = 0; ///< Milliseconds since the answer began.
    uint8_t hops = 0; ///< How often it may be passed on.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(part, age, hops);
    }
};

/** A part whose requests are refused. */
struct BlockedPartReport
{
    PromptPartId part;
    uint64_t block = 0; ///< Identifies this block, so that a lifted one isn't taken up again.
    int64_t blockedAt = 0; ///< Unix time in milliseconds, by the clock of the host that blocked it.
    uint32_t crashes = 0; ///< Independent crashes that it was blocked for.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(part, block, blockedAt, crashes);
    }
};

/** What a host knows of parts of prompts that crash replicas. Receiving it twice or in another order does no harm. */
struct PromptReport
{
    std::vector<SuspectPartReport> suspects;
    std::vector<ClearedPartReport> cleared;
    std::vector<BlockedPartReport> blocked;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(suspects, cleared, blocked);
    }
    /** @return whether it says nothing. */
    bool isEmpty() const
    {
        return suspects.empty() && cleared.empty() && blocked.empty();
    }
};

}
