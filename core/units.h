#pragma once

#include "core/quantity.h"

namespace vanillaspar
{

/** A time point or a duration in milliseconds, on the monotonic clock of one process. */
using Millis = Quantity<struct MillisUnit>;

/** Prompt and output tokens of a model; the unit of a team's rate and burst. */
using Tokens = Quantity<struct TokensUnit>;

/** Version of the accepted configuration; it only grows. */
using ConfigVersion = Quantity<struct ConfigVersionUnit>;

/** Version that the object API gives to a stored object; 0 means that the object doesn't exist. */
using ObjectVersion = Quantity<struct ObjectVersionUnit>;

/** Fencing number of a replica's owner; it only grows. */
using Epoch = Quantity<struct EpochUnit>;

/** @return a duration in seconds, with fractions. */
constexpr double toSeconds(Millis duration)
{
    constexpr double millisPerSecond = 1000;
    return static_cast<double>(duration.value) / millisPerSecond;
}

/** @return a duration of so many seconds, cut to whole milliseconds. */
constexpr Millis fromSeconds(double seconds)
{
    constexpr double millisPerSecond = 1000;
    return Millis(static_cast<int64_t>(seconds * millisPerSecond));
}

}
