#pragma once

#include "core/units.h"

#include <cstddef>

namespace vanillaspar
{

/** What a caller may send, and how long it may take. */
struct IngressLimits
{
    size_t headBytes = 16384;
    size_t bodyBytes = 4194304;
    Millis headTimeout {3000};
    Millis idleTimeout {15000};
};

}
