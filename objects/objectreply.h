#pragma once

#include "core/units.h"

#include <cstdint>
#include <string>

namespace vanillaspar
{

/** Reply of the platform's object API. */
struct ObjectReply
{
    enum class Status
    {
        Ok, ///< Read or written; @c version and @c value are the object's.
        Missing, ///< The object doesn't exist.
        Unchanged, ///< A watch ended without a change.
        Conflict, ///< The version differed; nothing was written.
        Unreachable, ///< No reply. A write may have taken effect nevertheless.
    };

    uint64_t id = 0; ///< Id of the ObjectCall.
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
