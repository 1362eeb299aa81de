#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace vanillaspar
{

class Clock;
class ObjectClient;
struct NodeSettings;
struct ObjectReply;

/**
 * Records in the platform's store which adapters this node may unload from replicas that don't check fencing numbers.
 *
 * An unload order may arrive long after it was sent. A later owner that can't confirm that this node has ended sends
 * no requests for the recorded adapters to the replica, so a late unload can't hit an adapter in use. A few intents
 * per replica are recorded in advance, so that loads neither wait for the write nor stop while the store is down.
 */
class IntentKeeper
{
public:
    /** Gets the adapters that another node may still unload; called once the store has answered. */
    using ReadHandler = std::function<void(const std::set<AdapterRef> &)>;

    IntentKeeper(const NodeSettings &settings, const Clock &clock, ObjectClient &objects);

    /** Drops all intents and starts over under a new incarnation of this node. */
    void setIncarnation(const Incarnation &incarnation);
    /** @return whether the store has confirmed the intent to unload @p adapter. */
    bool isRecorded(const ReplicaId &replica, const AdapterRef &adapter) const;
    /** Adds the intent to unload @p adapter to the next write. */
    void add(const ReplicaId &replica, const AdapterRef &adapter);
    /** Drops the intents for a replica that this node no longer owns; no unload may be in flight there. */
    void forget(const ReplicaId &replica);
    /** @return the intents for @p replica, both recorded and not yet written. */
    const std::set<AdapterRef> &intentsFor(const ReplicaId &replica) const;
    /**
     * Reads the intents that another node recorded for @p replica, and retries while the store is unreachable.
     *
     * Intents recorded by another incarnation than @p incarnation are ignored.
     */
    void read(const HostId &host, const Incarnation &incarnation, const ReplicaId &replica, const ReadHandler &handler);
    void tick();

private:
    using Table = std::map<ReplicaId, std::set<AdapterRef>>;

    void write();
    void readVersion();
    static std::string pathOf(const HostId &host);

    const NodeSettings &m_settings;
    const Clock &m_clock;
    ObjectClient &m_objects;
    Incarnation m_incarnation;
    uint64_t m_generation = 0;
    Table m_recorded; ///< Confirmed by the store.
    Table m_desired; ///< Content of the next write.
    ObjectVersion m_version;
    bool m_isDirty = false;
    bool m_isRequestPending = false;
    bool m_isVersionKnown = false;
    Millis m_nextWriteAt;
    std::vector<std::function<void()>> m_readsToRetry; ///< Reads that found the store unreachable.
    Millis m_retryReadsAt;
};

}
