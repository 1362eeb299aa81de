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
 * This node's view of the cluster object, and the only way to change it.
 *
 * A change is a function that is applied to the newest state and written by a conditional update. After a conflict or
 * a lost reply the object is read again and the function applied anew, so it has to be idempotent.
 */
class ClusterStore
{
public:
    /** Changes the state. @return whether there is anything to write. */
    using Change = std::function<bool(ClusterState &)>;
    /** Called once the change stands in the platform, or turned out to be unnecessary. */
    using Done = std::function<void()>;
    /** Called whenever a newer state was seen. */
    using Listener = std::function<void()>;

    ClusterStore(ObjectClient &objects, const Clock &clock, Listener listener);

    /** Starts to follow the object. */
    void start();
    void tick();

    /** @return the newest state seen; its version never goes back. */
    const ClusterState &state() const
    {
        return m_state;
    }
    /** @return whether any state was seen or the object is known not to exist. */
    bool isKnown() const
    {
        return m_isKnown;
    }
    /** Queues a change. */
    void update(Change change, Done done);
    /** Takes a state that a peer has seen; an older one is ignored. */
    void mergeFromPeer(ObjectVersion version, const std::string &value);
    /** Drops queued changes, after this node has lost its authority. */
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
    bool m_isBusy = false; // a read or write for the queue is under way
    bool m_isRefreshNeeded = false;
    Millis m_retryAt;
    Millis m_watchAt;
    uint64_t m_generation = 0; // replies for dropped changes are told by it
    std::deque<Pending> m_pending;
};

}
