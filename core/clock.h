#pragma once

#include "core/units.h"

namespace vanillaspar
{

/** Source of the current time, replaced by a simulated clock in tests. */
class Clock
{
public:
    virtual ~Clock() = default;

    /** @return milliseconds of a monotonic clock. */
    virtual Millis now() const = 0;
    /** @return milliseconds since 1970-01-01 UTC; may differ between hosts by seconds. */
    virtual Millis wallNow() const = 0;
};

}
