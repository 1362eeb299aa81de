#pragma once

#include "core/quantity.h"
#include "core/units.h"
#include "serving/interfaces/servingconfig.h"
#include "serving/interfaces/storeposition.h"
#include "serving/membership/copystate.h"

#include <algorithm>
#include <cstdint>

namespace vanillaspar
{
class EventLog;
}

namespace vanillaspar::serving
{

class RecordMirror;
struct StoredRecord;

/**
 * Which configuration is in force, and how recently it was known to be the store's newest.
 *
 * A store that was restored from a copy holds a configuration from before changes that hosts have applied, such as the
 * withdrawal of a key. The one in force then stays until one with a higher version of its own appears.
 */
class ConfigState
{
public:
    /** @param startedAt when this host's process started. */
    explicit ConfigState(Millis startedAt) : m_startedAt(startedAt)
    {
    }

    /**
     * Notes a configuration that was read from the store.
     *
     * @param version of the configuration itself, which the operator increases with each change.
     * @return whether it is to be applied; otherwise the one in force stays, which is logged.
     */
    bool admit(const StoredRecord &record, ConfigVersion version, EventLog &log);
    /** Takes over the freshness of a peer's copy, or lets the mirror read at once if the peer's copy is newer. */
    void onPeerCopy(const CopyState &copy, RecordMirror &mirror);
    /** A peer whose copy is at @p position uses the configuration with @p version. */
    void onPeerVersion(StorePosition position, ConfigVersion version);
    void onOwnCopy(Millis freshAsOf)
    {
        m_freshAsOf = std::max(m_freshAsOf, freshAsOf);
    }

    /**
     * @return whether peers use a newer configuration than the store has, or may do so. Keys that are in force here may
     * have been withdrawn then.
     */
    bool isOutdated(Millis now) const;
    StorePosition position() const
    {
        return m_position;
    }
    ConfigVersion version() const
    {
        return m_version;
    }
    /** @return the latest time at which the copy is known to have equalled the store's; negative if none. */
    Millis freshAsOf() const
    {
        return m_freshAsOf;
    }

private:
    Millis m_startedAt;
    StorePosition m_position;
    ConfigVersion m_version; ///< Of the configuration in force.
    ConfigVersion m_highestRejected {INT64_MIN}; ///< Configurations up to this version aren't applied.
    ConfigVersion m_peerVersion; ///< The newest that a peer uses although the store doesn't have it.
    bool m_isComparedWithPeer = false; ///< Whether a peer with the same copy stated its version.
    Millis m_freshAsOf {-1};
};

}
