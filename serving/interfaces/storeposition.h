#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace vanillaspar::serving
{

/**
 * A position in the history of the store.
 *
 * Revisions only order changes within an era: when the store is restored from a copy, its era rises by one and it
 * issues the revisions after the copy's again. A plain number doesn't convert to a position, so that no place that
 * compares revisions leaves out the era.
 */
struct StorePosition
{
    constexpr StorePosition() = default;
    constexpr StorePosition(int64_t era, int64_t revision) : era(era), revision(revision)
    {
    }
    auto operator<=>(const StorePosition &) const = default;
    /** @return whether no record can be at this position; expects a new record in a conditional write. */
    bool isNone() const
    {
        return revision == 0;
    }
    /** @return the position for log lines, as "ERA.REVISION", or the revision alone in era 0. */
    std::string text() const
    {
        return (era == 0 ? "" : std::to_string(era) + ".") + std::to_string(revision);
    }

    int64_t era = 0; ///< How often the store was restored from a copy.
    int64_t revision = 0; ///< The store's counter of changes in this era.
};

}
