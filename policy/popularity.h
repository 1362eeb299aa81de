#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <map>

namespace vanillaspar
{

/** Counts the uses of adapters with exponential decay. */
class Popularity
{
public:
    /** Records one use of @p adapter at @p now. */
    void recordUse(const AdapterRef &adapter, Millis now);
    /** @return the decayed number of uses of @p adapter; 0 if it has none. */
    double decayedUses(const AdapterRef &adapter, Millis now) const;
    /** @return the decayed number of uses of all adapters. */
    double totalUses(Millis now) const;
    /** @return the number of adapters with a stored count. */
    size_t size() const
    {
        return m_counts.size();
    }

private:
    struct Count
    {
        double value = 0;
        Millis at; ///< Time that the value is decayed to.
    };

    void removeExpired(Millis now);

    std::map<AdapterRef, Count> m_counts;
    Count m_total;
    Millis m_cleanedUpAt;
};

}
