#pragma once

#include "core/units.h"

#include <cstdint>
#include <string>

namespace vanillaspar
{

/** What the platform's object API answered. */
struct ObjectReply
{
    enum class Status
    {
        Ok, ///< Read or written; version and value are the object's.
        Missing, ///< The object doesn't exist.
        Unchanged, ///< A watch ended without a change.
        Conflict, ///< The condition didn't hold; nothing was written.
        Unreachable, ///< No answer. A write may have taken effect all the same.
    };

    uint64_t id = 0;
    Status status = Status::Unreachable;
    ObjectVersion version;
    std::string value;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(id, status, version, value);
    }
};

}
