#pragma once

#include "core/units.h"

namespace vanillaspar
{

/**
 * Recent observations of how much longer than expected a replica takes.
 *
 * Load it answers: replicas whose speed changes within a second. Observations fade with a time constant of 300 ms, so
 * that a change dominates the mean within 200 to 600 ms. The mean is that of logarithms, which a few requests of
 * unusual length change little. Sums of several hosts can be added.
 */
class LatencyEvidence
{
public:
    LatencyEvidence() = default;
    /**
     * @param logRatio mean of the logarithms of observed by expected time.
     * @param weight number of observations that the mean rests on.
     * @param observedAt time of the newest observation.
     * @param now current time.
     */
    LatencyEvidence(double logRatio, double weight, Millis observedAt, Millis now);

    /**
     * Adds an observation.
     *
     * @param ratio observed by expected time.
     * @param weight 1 for an observation whose expected time is well known, less otherwise.
     * @param now current time.
     */
    void observe(double ratio, double weight, Millis now);
    /** Adds the observations of another host. */
    void add(const LatencyEvidence &other, Millis now);

    /** @return number of observations, faded by their age; 0 if the newest one is older than a second. */
    double weight(Millis now) const;
    /** @return mean of the logarithms of observed by expected time; 0 without observations. */
    double logRatio() const
    {
        return m_weight > 0 ? m_sum / m_weight : 0;
    }
    Millis observedAt() const
    {
        return m_observedAt;
    }

private:
    void fade(Millis now);

    double m_sum = 0;
    double m_weight = 0;
    Millis m_fadedAt {0};
    Millis m_observedAt {-1};
};

}
