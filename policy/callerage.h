#pragma once

#include "core/units.h"

#include <map>

namespace vanillaspar
{

/**
 * Infers for how long a route's callers have been trying, from the time that they state to have left.
 *
 * Load it answers: a shortage in which many callers are refused and return. A caller that returns has less time left
 * than one that asks for the first time. As first attempts state the same few timeouts, these are the frequent ones;
 * what is missing to the next frequent one is the time that the caller has spent.
 */
class CallerAge
{
public:
    /**
     * Records a request.
     *
     * @param timeout the time that its caller states to have left.
     * @return for how long the caller has been trying; 0 if that isn't known.
     */
    Millis observe(Millis timeout);

private:
    std::map<Millis, double> m_timeouts; ///< Fading counts of stated timeouts.
    double m_total = 0;
};

}
