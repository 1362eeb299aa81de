#pragma once

#include "core/units.h"

#include <cstdint>

namespace vanillaspar
{

/**
 * Paces the adapters that one host lets engines load from the weight store.
 *
 * Load it answers: many rare adapters that are asked for at once. The store transfers some number of adapters at full
 * speed; with more under way each takes longer in proportion, so that all of them come too late instead of some. The
 * number isn't known and is shared with the other hosts. As long as transfers take no longer than the fastest recent
 * ones, this host starts more at a time, and fewer when they take longer.
 */
class TransferPacer
{
public:
    /**
     * Records a completed load, unless it was so fast that the replica must have had a copy in its own memory, or too
     * little is known of when it was complete.
     *
     * @param incompleteAt age of the load when the replica last stated that it wasn't complete; 0 if it never did.
     * @param completeAt age of the load when the replica stated that the adapter is resident.
     * @param now current time.
     */
    void onCompleted(Millis incompleteAt, Millis completeAt, Millis now);
    /**
     * Decides whether this host may start another transfer.
     *
     * @param underWay transfers that this host has started and that aren't complete.
     */
    bool mayStart(int64_t underWay);
    /** @return the recent average duration; an initial value before the first completed load. */
    Millis expected() const;
    /** @return how old an incomplete load should be when the replica is asked again, given its age now. */
    Millis nextCheckAge(Millis age) const;

private:
    void updateLimit(double millis);

    double m_average = 0; ///< Milliseconds; 0 before the first completed load.
    double m_fastest = 0; ///< Milliseconds of the fastest recent transfer; 0 before the first one.
    Millis m_fastestAt {0}; ///< When m_fastest was last set.
    int m_shortInRow = 0; ///< Loads in a row that took much less than the fastest time.
    double m_checkFrom = 0; ///< Age in milliseconds from which a load is checked often; 0 for from the early check.
    double m_limit = 2; ///< Transfers that this host may have under way.
    bool m_wasLimited = false; ///< Whether a transfer had to wait since the limit was last changed.
    bool m_wasSlowed = false; ///< Whether the limit was ever too high.
};

}
