#include "policy/partrestrictions.h"

#include "policy/crashevidence.h"

#include <algorithm>
#include <set>

namespace vanillaspar
{

namespace
{

constexpr std::ptrdiff_t endedProbes = 2; // that prove it
// As many ends in a row at different moments prove it without probes: answers on a sound part progress in between.
constexpr int64_t conclusiveWeight = 8;

}

PartRestrictions::Changes PartRestrictions::update(const CrashEvidence &evidence, Millis now)
{
    Changes changes;
    std::map<PromptPartId, Millis> restrictedAt;
    std::set<PromptPartId> restrictedParts;
    for (const auto &[part, since] : m_restrictedAt) {
        restrictedParts.insert(part);
    }
    for (const CrashSuspect &suspect : evidence.rankSuspects(CrashEvidence::settledUntil(now), restrictedParts)) {
        if (!contains(suspect.part)) {
            changes.restricted.push_back(suspect.part);
        }
        const Millis since = contains(suspect.part) ? m_restrictedAt.at(suspect.part) : now;
        restrictedAt[suspect.part] = since;
        const auto probes
            = std::count_if(suspect.proofs.begin(), suspect.proofs.end(), [since](const PartCrash &crash) {
                  return crash.at > since;
              });
        if (probes >= endedProbes || suspect.weight >= conclusiveWeight) {
            changes.crashing.push_back(suspect.part);
        }
    }
    for (const auto &[part, since] : m_restrictedAt) {
        if (restrictedAt.count(part) == 0) {
            changes.released.push_back(part);
        }
    }
    m_restrictedAt = std::move(restrictedAt);
    return changes;
}

}
