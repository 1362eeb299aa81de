#pragma once

#include "cluster/messages/fleet.h"
#include "core/ids.h"

#include <cstdint>

namespace vanillaspar
{

/** How recently the sender's copy of a record is known to equal the store's, in an era. */
struct EraFreshness
{
    int64_t era = 0; ///< Era of the copy's revision.
    RecordFreshness copy;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(era, copy);
    }
};

/**
 * How recently the sender's copies are known to equal the store's, once the store was restored from a copy.
 *
 * Copies of an era above 0 are stated here instead of in heartbeats and VersionProof, whose fields have no era: hosts
 * of builds that know no eras would take a revision that was issued again for the one that they know.
 */
struct StoreProof
{
    uint64_t echoedSequence = 0; ///< Sequence of the last heartbeat from the receiver.
    Incarnation echoedIncarnation; ///< The receiver's incarnation in that heartbeat.
    EraFreshness configuration;
    int64_t configurationVersion = 0; ///< The configuration's own version, which never falls.
    EraFreshness owners;
    EraFreshness versions; ///< Its revision is that of the newest announcement.
    EraFreshness backends; ///< Without age: of the newest entry of a new or restarted replica.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(echoedSequence, echoedIncarnation, configuration, configurationVersion, owners, versions, backends);
    }
};

}
