#pragma once

#include "core/units.h"

namespace vanillaspar
{

/**
 * Observes how long engines take to load an adapter from the weight store.
 *
 * Load it answers: a weight store that many replicas share and that slows down as they do, and deployments whose
 * stores differ in speed. The owner of a replica asks for the state of a load shortly before it is expected to be
 * complete, instead of assuming a time.
 */
class TransferTimes
{
public:
    /**
     * Records a completed load, unless it was so fast that the replica must have had a copy in its own memory.
     *
     * @param took time from the order until the replica confirmed that the adapter is resident.
     */
    void onCompleted(Millis took);
    /** @return the recent average; a guess before the first completed load. */
    Millis expected() const;
    /** @return how old an incomplete load should be when the replica is asked again, given its age now. */
    Millis nextCheckAge(Millis age) const;

private:
    double m_average = 0; ///< Milliseconds; 0 before the first completed load.
};

}
