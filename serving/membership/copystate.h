#pragma once

#include "core/units.h"
#include "serving/interfaces/storeposition.h"

namespace vanillaspar::serving
{

/** A copy of a record or collection: its position, and when it was last known to equal the store's. */
struct CopyState
{
    StorePosition position;
    Millis freshAsOf {-1}; ///< Negative if it never was, or if that isn't known.
};

}
