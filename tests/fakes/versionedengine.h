#pragma once

#include "core/random.h"
#include "serving/interfaces/orderport.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace vanillaspar::serving
{

/** A request at an engine. */
struct EngineRun
{
    size_t host = 0;
    uint64_t attempt = 0;
    std::string weights;
    int64_t expectedVersion = 0; ///< 0 for any.
    int priority = 0;
    bool wasInTouch = false; ///< Whether its host was in touch when it sent the request.
    Millis readyAt; ///< When its prompt is read, once it has a slot; negative while it is queued.
    int64_t events = 0; ///< Sent so far.
    Millis nextAt; ///< When the next event is due.
};

/** What the world of an engine is asked and told. */
struct EngineWorld
{
    std::function<int64_t(const std::string &)> newestVersion;
    std::function<void(const EngineRun &, int64_t version)> onBegun; ///< The first token.
    std::function<void(const EngineRun &)> onEvent; ///< Each later piece.
    std::function<void(const EngineRun &)> onDone;
    std::function<void(const EngineRun &)> onRejected; ///< 503, not executed.
    std::function<void()> onChanged; ///< What it holds has changed.
};

/**
 * An engine in virtual time with adapters in versions, a queue and orders, as bad as the protocol allows.
 *
 * A replacement waits for the runs that it finds and rejects what is queued. An order may be carried out late, and its
 * answer may be lost. The engine may stall and then go on where it was.
 */
class VersionedEngine
{
public:
    VersionedEngine(ReplicaId id, int64_t slots, EngineWorld world, Random &random);

    const ReplicaId &id() const
    {
        return m_id;
    }
    /** @return what it holds now. */
    EngineResidency residency() const;
    /** @return what it held 300 ms ago. */
    EngineResidency report() const
    {
        return m_history.empty() ? residency() : m_history.front().second;
    }
    /** A request arrives. @return whether it is taken; false for 421. */
    bool arrive(const EngineRun &run);
    void cancel(size_t host, uint64_t attempt);
    /** How many events an answer has. */
    void setEvents(int64_t events)
    {
        m_events = events;
    }
    /** It is one of the few that don't drop a request when its connection closes. */
    void ignoreCloses()
    {
        m_ignoresCloses = true;
    }
    /** Drops all requests of a host whose process has ended. */
    void cancelAll(size_t host);
    /** An order arrives. @return the answer. */
    OrderResult order(const EngineOrder &order, Millis now);
    /** Starts anew under its id: holds nothing but its model. */
    void restart(Millis now);
    void stallUntil(Millis until)
    {
        m_stalledUntil = until;
    }
    bool isStalled(Millis now) const
    {
        return now < m_stalledUntil;
    }
    void step(Millis now);

private:
    struct Load
    {
        int64_t version = 0;
        Millis readyAt;
    };

    bool isReplacing(const std::string &weights) const
    {
        return m_loads.count(weights) > 0 && m_versions.count(weights) > 0;
    }
    /** Rejects what waits for an adapter; what has begun goes on. */
    void rejectQueued(const std::string &weights);
    bool isInUse(const std::string &weights) const;
    void finishUnloads();
    void finishLoads(Millis now);
    void admit(Millis now);

    ReplicaId m_id;
    int64_t m_slots;
    EngineWorld m_world;
    Random &m_random;
    int64_t m_incarnation = 1;
    int64_t m_orders = 0;
    std::map<std::string, int64_t> m_versions;
    std::map<std::string, Load> m_loads;
    std::set<std::string> m_unloading;
    std::vector<EngineRun> m_queue;
    std::vector<EngineRun> m_running;
    std::deque<std::pair<Millis, EngineResidency>> m_history;
    Millis m_stalledUntil {0};
    bool m_ignoresCloses = false;
    int64_t m_events = 14;
};

}
