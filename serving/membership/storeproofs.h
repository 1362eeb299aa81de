#pragma once

#include "cluster/message.h"
#include "core/units.h"
#include "serving/interfaces/servingconfig.h"
#include "serving/interfaces/storeposition.h"
#include "serving/membership/copystate.h"

#include <array>

namespace vanillaspar
{
class PeerLink;
}

namespace vanillaspar::serving
{

class FleetMembers;
class RecordMirror;

/** The copies whose freshness hosts tell each other. */
struct CopyStates
{
    CopyState configuration;
    ConfigVersion configurationVersion;
    CopyState owners;
    CopyState versions;
    StorePosition backends; ///< Of the newest entry of a new or restarted replica.
};

/**
 * Tells other hosts how fresh this host's copies are, once the store was restored from a copy.
 *
 * In era 0 heartbeats and VersionProof carry this, and nothing is sent here.
 */
class StoreProofs
{
public:
    /** @return the freshness for a message without an era: none for a copy of an era above 0. */
    static RecordFreshness withoutEra(const CopyState &copy, Millis now);
    /** @return the copies of the host that sent a proof, with times by this host's clock. */
    static CopyStates decode(const StoreProof &proof, const FleetMembers &members);
    /** Lets mirrors whose copy is of an older era than another one's read the store at once. */
    static void alignEras(const std::array<RecordMirror *, 4> &mirrors);

    /** Sends proofs to the hosts that get heartbeats, four times a second; to be called after each of their rounds. */
    void send(const CopyStates &copies, const FleetMembers &members, PeerLink &peers, Millis now);

private:
    Millis m_sentAt {0};
};

}
