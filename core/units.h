#pragma once

#include "core/quantity.h"

namespace vanillaspar
{

/** A time point or a duration in milliseconds, on the monotonic clock of one process. */
using Millis = Quantity<struct MillisUnit>;

/** Tokens of a model's prompt and output; the unit of a team's rate limit. */
using Tokens = Quantity<struct TokensUnit>;

/** Version of the accepted configuration; increases only. */
using ConfigVersion = Quantity<struct ConfigVersionUnit>;

/** Version of an object in the store; 0 means that the object doesn't exist. */
using ObjectVersion = Quantity<struct ObjectVersionUnit>;

/** Fencing number of a replica's owner; increases only. */
using Epoch = Quantity<struct EpochUnit>;

/** @return @p duration in seconds, with fractions. */
constexpr double toSeconds(Millis duration)
{
    constexpr double millisPerSecond = 1000;
    return static_cast<double>(duration.value) / millisPerSecond;
}

/** @return @p seconds as a duration, truncated to whole milliseconds. */
constexpr Millis fromSeconds(double seconds)
{
    constexpr double millisPerSecond = 1000;
    return Millis(static_cast<int64_t>(seconds * millisPerSecond));
}

}
