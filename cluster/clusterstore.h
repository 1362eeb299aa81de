#pragma once

#include "cluster/clusterstate.h"

#include <deque>
#include <functional>

namespace vanillaspar
{

class Clock;
class ObjectClient;
struct ObjectReply;

/**
 * Keeps a copy of the cluster object up to date by watching it, and writes changes to it.
 *
 * Changes use optimistic concurrency: a change is a function that is applied to the newest known state, and the result
 * is written on condition that the object's version is still the same. After a conflict or a lost reply the object is
 * read again and the function is applied again, so it has to be idempotent. Changes are written one after the other.
 */
class ClusterStore
{
public:
    /** Modifies the state in place. @return whether it changed anything that has to be written. */
    using Change = std::function<bool(ClusterState &)>;
    /** Called once the change was written to the platform, or when the Change function found nothing to write. */
    using Done = std::function<void()>;
    /** Called after state() was replaced by a newer one. */
    using Listener = std::function<void()>;

    /**
     * @param objects client of the platform's object API.
     * @param listener called after every newer state.
     */
    ClusterStore(ObjectClient &objects, const Clock &clock, Listener listener);

    /** Reads the object and keeps watching it from then on. */
    void start();
    /** Restarts a failed watch, and reads or writes again after a failure once the retry delay has passed. */
    void tick();

    /** @return the newest state received; its version never decreases. */
    const ClusterState &state() const
    {
        return m_state;
    }
    /** @return whether the platform has answered at least once, with a state or that the object doesn't exist yet. */
    bool isKnown() const
    {
        return m_isKnown;
    }
    /**
     * Queues a change.
     *
     * @param change may be called several times, each time with a newer state.
     * @param done may be empty; not called if the change is dropped.
     */
    void update(Change change, Done done);
    /**
     * Takes over a state that another host has received from the platform, unless the own copy is as new.
     *
     * @param version version of the cluster object.
     * @param value content of the cluster object.
     * @throws DecodeError if @p value is malformed.
     */
    void mergeFromPeer(ObjectVersion version, const std::string &value);
    /** Drops the queued changes and ignores the reply to a pending write, after this host lost its lease. */
    void dropPendingChanges();

private:
    struct Pending
    {
        Change change;
        Done done;
    };

    void watch();
    void onWatched(const ObjectReply &reply);
    void accept(ObjectVersion version, const std::string &value);
    void refresh();
    void writeNext();
    void onWritten(const ObjectReply &reply, const ClusterState &written);
    void finishFirst();

    ObjectClient &m_objects;
    const Clock &m_clock;
    Listener m_listener;
    ClusterState m_state;
    bool m_isKnown = false;
    bool m_isWatching = false;
    bool m_isBusy = false; // whether a read or write for the queue of changes is pending
    bool m_isRefreshNeeded = false; // whether the object has to be read before the next write
    Millis m_retryAt;
    Millis m_watchAt;
    uint64_t m_generation = 0; // counts dropPendingChanges(), so that replies to dropped changes are ignored
    std::deque<Pending> m_pending;
};

}
