#pragma once

#include "core/clock.h"

namespace vanillaspar
{

/**
 * A clock that goes on while the machine is suspended.
 *
 * Whoever reasons about how old a piece of evidence is needs this one: the steady clock stands still in a suspension,
 * so that a lease would look alive to its frozen holder.
 */
class BootClock : public Clock
{
public:
    Millis now() const override;
    Millis wallNow() const override;
};

}
