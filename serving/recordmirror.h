#pragma once

#include "core/units.h"
#include "serving/statestore.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace vanillaspar
{
class Clock;
class EventLog;
class Random;
}

namespace vanillaspar::serving
{

/** How often a mirror asks. */
struct MirrorIntervals
{
    Millis watchTimeout; ///< How long the store may hold a watch that has nothing to tell.
    Millis pollInterval; ///< Between an answer with changes and the next watch, so that changes come in batches.
};

/**
 * Follows all records of one collection.
 *
 * It lists once and watches from there; it lists anew when the store has dropped its history. A record never goes back
 * to an older revision. Calls that fail are repeated after a growing, jittered pause.
 */
class RecordMirror
{
public:
    /** Called with the records that changed, deleted ones included. */
    using Listener = std::function<void(const std::vector<StoredRecord> &)>;

    RecordMirror(StateStore &store, Collection collection, MirrorIntervals intervals, const Clock &clock,
                 Random &random, EventLog &log, Listener listener);

    /** Starts the calls that are due. */
    void tick();
    void setIntervals(MirrorIntervals intervals)
    {
        m_intervals = intervals;
    }
    /**
     * Asks at once instead of waiting for the present watch or the gap.
     *
     * A call that the store answers at once is left to be answered: giving it up for the next one would never end on a
     * slow connection.
     */
    void refresh();

    /** @return the store's revision up to which changes are known. */
    int64_t revision() const
    {
        return m_revision;
    }
    /** @return whether the whole collection was read. */
    bool isLoaded() const
    {
        return m_isLoaded;
    }
    /** @return the latest time at which the mirror is known to have equalled the store; negative if never. */
    Millis freshAsOf() const
    {
        return m_freshAsOf;
    }
    /** @return when a call was answered last; negative if none was. */
    Millis answeredAt() const
    {
        return m_answeredAt;
    }
    /** @return whether the last call was answered. */
    bool isReachable() const
    {
        return m_failures == 0;
    }
    /** @return when calls began to be answered again after the last failure; negative if none failed. */
    Millis recoveredAt() const
    {
        return m_recoveredAt;
    }
    const std::map<std::string, StoredRecord> &records() const
    {
        return m_records;
    }

private:
    void list(const std::string &after);
    void watch(Millis wait);
    void onListed(StoreRead read, Millis sentAt);
    void onWatched(StoreRead read, Millis sentAt);
    void fail(StoreResult result);
    void succeed();
    void apply(std::vector<StoredRecord> records);
    void finishList(Millis sentAt);

    StateStore &m_store;
    Collection m_collection;
    MirrorIntervals m_intervals;
    const Clock &m_clock;
    Random &m_random;
    EventLog &m_log;
    Listener m_listener;
    std::map<std::string, StoredRecord> m_records;
    std::map<std::string, StoredRecord> m_listedRecords; ///< The pages of a list so far.
    int64_t m_revision = 0;
    int64_t m_listRevision = 0;
    bool m_isLoaded = false;
    bool m_needsList = true;
    uint64_t m_openCall = 0;
    bool m_isLongPoll = false; ///< Whether the store may hold the present call.
    Millis m_callSentAt;
    Millis m_retryAt; ///< After a failed call, the end of the pause.
    Millis m_changedAt {INT64_MIN / 2}; ///< When an answer with changes came last.
    Millis m_freshAsOf {-1};
    Millis m_answeredAt {-1};
    Millis m_recoveredAt {-1};
    int m_failures = 0;
};

}
