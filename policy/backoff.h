#pragma once

#include "core/units.h"

namespace vanillaspar
{

/**
 * Computes an exponential backoff.
 *
 * @param first delay after the first failure.
 * @param failures consecutive failures before the current one.
 * @param maxDoublings number of doublings after which the delay stays constant.
 * @return the delay before the next attempt.
 */
Millis backoffDelay(Millis first, int failures, int maxDoublings);

}
