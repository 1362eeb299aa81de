#pragma once

#include "core/units.h"

#include <vector>

namespace vanillaspar
{

class LatencyEvidence;

/**
 * Compares the replicas of a pool: how much longer than the others each one takes.
 *
 * A change that all replicas share, such as a wave of long requests, is taken out with the median. Replicas with little
 * evidence are drawn towards the median, so that one which gets no requests is tried again.
 */
struct RelativeLatency
{
    std::vector<double> factors; ///< By replica, in the order given; 1 for the median. From 0.25 to 8.
    double level = 1; ///< Of the median: observed by expected time.

    /** @param evidence of each replica of the pool. */
    static RelativeLatency compare(const std::vector<LatencyEvidence> &evidence, Millis now);
};

}
