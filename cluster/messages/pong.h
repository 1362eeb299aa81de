#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <cereal/types/string.hpp>

namespace vanillaspar
{

/** Response to a Ping. */
struct Pong
{
    uint64_t sequence = 0; ///< Of the Ping.
    Incarnation incarnation;
    ConfigVersion configVersion;
    Millis confirmedAge; ///< Time since the platform last confirmed the sender's configuration version.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(sequence, incarnation, configVersion, confirmedAge);
    }
};

}
