#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <cstdint>
#include <map>
#include <vector>

namespace vanillaspar
{

class CrashEvidence;

/**
 * Parts of prompts whose requests are held back until it is known whether they crash replicas.
 *
 * A part is restricted once five ends of replicas are blamed on it. Requests with it are then sent one at a time over
 * all hosts, as probes: one that progresses clears the part, and further ends under it prove that it crashes replicas.
 * Unlike the rate at which requests end anyway, that doesn't depend on other traffic.
 */
class PartRestrictions
{
public:
    /** What an update has changed. */
    struct Changes
    {
        std::vector<PromptPartId> restricted;
        std::vector<PromptPartId> released; ///< Cleared, or a blocked part explains the ends.
        std::vector<PromptPartId> crashing; ///< Proved to crash replicas; still restricted until it is blocked.
    };

    /** Brings the restrictions up to date with the evidence; to be called every few milliseconds. */
    Changes update(const CrashEvidence &evidence, Millis now);
    bool contains(const PromptPartId &part) const
    {
        return m_restrictedAt.count(part) > 0;
    }
    bool isEmpty() const
    {
        return m_restrictedAt.empty();
    }
    size_t size() const
    {
        return m_restrictedAt.size();
    }

private:
    std::map<PromptPartId, Millis> m_restrictedAt;
};

}
