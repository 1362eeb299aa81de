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
    /**
     * Notes a configuration that was read from the store.
     *
     * For a moment after a restore the copy is no proof, so that peers can state the versions that they use.
     *
     * @param version of the configuration itself, which the operator increases with each change.
     * @return whether it is to be applied; otherwise the one in force stays, which is logged.
     */
    bool admit(const StoredRecord &record, ConfigVersion version, Millis now, EventLog &log);
    /** Takes over the freshness of a peer's copy, or lets the mirror read at once if the peer's copy is newer. */
    void onPeerCopy(const CopyState &copy, RecordMirror &mirror, Millis now);
    /** A peer whose copy is at @p position knows that @p version of the configuration is or was in use. */
    void onPeerVersion(StorePosition position, ConfigVersion version, Millis now);
    void onOwnCopy(Millis freshAsOf, Millis now)
    {
        m_freshAsOf = now < m_comparedAt ? m_freshAsOf : std::max(m_freshAsOf, freshAsOf);
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
    /** @return the highest version that this host or, by their statements, a peer uses. */
    ConfigVersion newestVersion() const
    {
        return std::max(m_version, m_peerVersion);
    }
    /** @return the latest time at which the copy is known to have equalled the store's; negative if none. */
    Millis freshAsOf() const
    {
        return m_freshAsOf;
    }

private:
    StorePosition m_position;
    ConfigVersion m_version; ///< Of the configuration in force.
    ConfigVersion m_highestRejected {INT64_MIN}; ///< Configurations up to this version aren't applied.
    ConfigVersion m_peerVersion; ///< The newest that a peer uses although the store doesn't have it.
    Millis m_comparedAt {INT64_MIN / 2}; ///< From when on peers have had time to state their versions since a restore.
    Millis m_freshAsOf {-1};
};

}
