#pragma once

#include "core/units.h"

namespace vanillaspar
{

/**
 * How much longer than its peers a replica takes until the first event of a response.
 *
 * Load it answers: replicas that turn slow or stop while their health checks succeed. A request that has waited for
 * longer than expected raises the ratio before its response arrives. Without observations the ratio returns to 1, so
 * that the replica is tried again.
 */
class ReplicaPace
{
public:
    /**
     * Records the first event of a response.
     *
     * @param ratio observed time divided by the time expected of an average replica.
     * @param now current time.
     */
    void onFirstEvent(double ratio, Millis now);
    /**
     * Records a request that still waits for its first event.
     *
     * @param ratio time since it was sent, divided by the time expected of an average replica.
     * @param now current time.
     */
    void onWaiting(double ratio, Millis now);
    /** @return the factor to multiply the time expected of an average replica with. */
    double factor(Millis now) const;

private:
    double m_ratio = 1;
    Millis m_observedAt {0};
};

}
