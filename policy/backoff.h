#pragma once

#include "core/units.h"

namespace vanillaspar
{

/**
 * A pause that doubles with each failure.
 *
 * @param first pause after no failure before.
 * @param failures before this one.
 * @param maxDoublings after which the pause stays.
 */
Millis backoffDelay(Millis first, int failures, int maxDoublings);

}
