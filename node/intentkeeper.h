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
 * Records on the platform which adapters this node may unload from replicas that don't check fencing numbers.
 *
 * An order may arrive long after it was sent. A successor that can't prove this node gone keeps the recorded adapters
 * off the replica, so a late unload can't hit an adapter in use. Intents are written ahead of need, a few for each
 * replica, so that neither a load nor an outage of the platform waits for them.
 */
class IntentKeeper
{
public:
    /** Told the adapters that another node may still unload; called once the platform has answered. */
    using ReadHandler = std::function<void(const std::set<AdapterRef> &)>;

    IntentKeeper(const NodeSettings &settings, const Clock &clock, ObjectClient &objects);

    /** Starts anew for another incarnation, without intents. */
    void setIncarnation(const Incarnation &incarnation);
    /** @return whether an unload of @p adapter was recorded. */
    bool isRecorded(const ReplicaId &replica, const AdapterRef &adapter) const;
    /** Records that @p adapter may be unloaded, with the next write. */
    void add(const ReplicaId &replica, const AdapterRef &adapter);
    /** Drops the intents of a replica that this node no longer owns and that has no unload under way. */
    void forget(const ReplicaId &replica);
    /** @return recorded and waiting intents for @p replica. */
    const std::set<AdapterRef> &intentsFor(const ReplicaId &replica) const;
    /** Reads what another node recorded for @p replica. */
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
    Table m_recorded; ///< Stands on the platform.
    Table m_desired; ///< What the next write will hold.
    ObjectVersion m_version;
    bool m_isDirty = false;
    bool m_isRequestPending = false;
    bool m_isVersionKnown = false;
    Millis m_nextWriteAt;
    std::vector<std::function<void()>> m_readsToRetry; ///< Reads that the platform didn't answer.
    Millis m_retryReadsAt;
};

}
