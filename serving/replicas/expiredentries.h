#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <map>
#include <vector>

namespace vanillaspar::serving
{

/** Replicas whose entries were removed right after a store outage, and until when these may be written again. */
class ExpiredEntries
{
public:
    /** The entry of a replica was removed. @param until when it may be written again. */
    void add(const ReplicaId &replica, Millis until);
    /** The entry of a replica was written again. */
    void remove(const ReplicaId &replica);
    /** Removes and returns the replicas whose time is over. */
    std::vector<ReplicaId> takeDue(Millis now);

private:
    std::map<ReplicaId, Millis> m_until;
};

}
