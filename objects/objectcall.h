#pragma once

#include "core/units.h"

#include <cstdint>
#include <string>

namespace vanillaspar
{

/** Call of the platform's object API. */
struct ObjectCall
{
    enum class Kind
    {
        Get, ///< Reads an object.
        Watch, ///< Returns once the object's version is above @c version, or after the store's watch timeout.
        Put, ///< Writes if the object still has @c version; 0 creates the object.
    };

    uint64_t id = 0; ///< Returned in the reply.
    Kind kind = Kind::Get;
    std::string path;
    ObjectVersion version; ///< Condition of a watch or a put.
    std::string value; ///< Content to write, for a put.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(id, kind, path, version, value);
    }
};

}
