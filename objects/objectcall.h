#pragma once

#include "core/units.h"

#include <cstdint>
#include <string>

namespace vanillaspar
{

/** One call of the platform's object API. */
struct ObjectCall
{
    enum class Kind
    {
        Get, ///< Reads an object.
        Watch, ///< Returns once the object's version is above @c version, or after a while.
        Put, ///< Writes if the object still has @c version; 0 creates it.
    };

    uint64_t id = 0; ///< Matches the reply to the call.
    Kind kind = Kind::Get;
    std::string path;
    ObjectVersion version;
    std::string value;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(id, kind, path, version, value);
    }
};

}
