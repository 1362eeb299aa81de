#pragma once

#include "core/units.h"

namespace vanillaspar::serving
{

/** Since when the store has answered this host or, by the freshness that they report, others. */
class StoreAvailability
{
public:
    /**
     * @param answeredAt the latest answer to any host that is known.
     * @return whether it is the first one after an outage.
     */
    bool update(Millis answeredAt);
    /**
     * @param recoveredAt when the first call for the replicas' entries after the last failures succeeded.
     * @return until when a removed entry may be one that expired in a store outage and will be written again; in the
     *     past if there was no outage.
     */
    Millis expiryGraceEnd(Millis recoveredAt) const;
    /** @return until when a replica whose entry a restore of the store lost is expected to write it again. */
    static Millis restoreGraceEnd(Millis now);

private:
    Millis m_answeredAt {-1}; ///< When the store is last known to have answered any host.
    Millis m_availableSince {-1}; ///< Since when it has answered, after the last outage.
};

}
