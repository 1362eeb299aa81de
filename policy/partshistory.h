#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <cstdint>
#include <map>

namespace vanillaspar
{

/** Remembers on which parts of prompts answers have progressed, for a bounded number of parts. */
class PartsHistory
{
public:
    /** An answer on the part that began at @p begunAt has progressed. */
    void onProgressed(const PromptPartId &part, Millis begunAt);

    /** @return whether an answer on the part that began at @p since or later has progressed. */
    bool hasProgressedSince(const PromptPartId &part, Millis since) const;
    /** @return whether any answer on the part has progressed. */
    bool hasProgressed(const PromptPartId &part) const
    {
        return lastBegunOf(part).count(part) > 0;
    }
    /** @return whether enough was seen that a part without any answer is remarkable. */
    bool isMeaningful() const;

private:
    using LastBegun = std::map<PromptPartId, Millis>;

    /** Drops the half of the names that was used least recently. */
    static void dropOldest(LastBegun &lastBegun);
    const LastBegun &lastBegunOf(const PromptPartId &part) const;

    LastBegun m_parts;
    LastBegun m_requests; ///< Whole requests; most come once and would push parts out.
    int64_t m_count = 0; ///< Answers that have progressed, counted once for each part.
};

}
