#pragma once

#include "objects/objectcall.h"
#include "objects/objectreply.h"

#include <map>
#include <string>

namespace vanillaspar
{

/** The objects of a stand-in platform: versions and conditional updates, in memory. */
class ObjectTable
{
public:
    struct Object
    {
        ObjectVersion version;
        std::string value;
    };

    /** Carries out a call; a watch answers with what stands now. */
    ObjectReply carryOut(const ObjectCall &call);
    /** @return the object, or nullptr. */
    const Object *find(const std::string &path) const;
    /** Writes without a condition, as the platform itself does. */
    void set(const std::string &path, const std::string &value);
    const std::map<std::string, Object> &objects() const
    {
        return m_objects;
    }

private:
    ObjectReply put(const ObjectCall &call);

    std::map<std::string, Object> m_objects;
    ObjectVersion m_lastVersion;
};

}
