#pragma once

#include "core/units.h"

namespace vanillaspar
{

/**
 * Estimates how long an engine takes from a request's arrival to the first event of its response.
 *
 * Load it answers: prompts that queue in front of engines that are busy reading other prompts. The time is modelled as
 * a fixed part plus a part in proportion to the prompt tokens that the engine has to read first, the request's own
 * included. Both are fitted to the observed times by least squares; older observations fade.
 */
class FirstEventEstimate
{
public:
    /**
     * Records an observed time.
     *
     * @param tokens prompt tokens that the engine had to read, the request's own included.
     * @param elapsed time until the first event.
     */
    void observe(double tokens, Millis elapsed);
    /** @return the expected time until the first event if @p tokens have to be read. */
    Millis expected(double tokens) const;

private:
    // Weighted sums over the observations. They start with two prompts of typical length, whose weight fades.
    double m_weight = 2;
    double m_tokens = 4000;
    double m_elapsed = 270;
    double m_tokensSquared = 10'000'000;
    double m_product = 640'000;
};

}
