#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <map>

namespace vanillaspar
{

/** Counts uses of adapters, with older uses counting for less. */
class Popularity
{
public:
    /** Notes one use. */
    void recordUse(const AdapterRef &adapter, Millis now);
    /** @return the decayed number of uses. */
    double decayedUses(const AdapterRef &adapter, Millis now) const;
    /** @return the decayed number of uses of all adapters together. */
    double totalUses(Millis now) const;
    /** @return adapters with a count. */
    size_t size() const
    {
        return m_counts.size();
    }

private:
    struct Count
    {
        double value = 0;
        Millis at;
    };

    void removeExpired(Millis now);

    std::map<AdapterRef, Count> m_counts;
    Count m_total;
    Millis m_cleanedUpAt;
};

}
