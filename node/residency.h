#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <map>

namespace vanillaspar
{

struct StateReport;

/**
 * Tracks which adapters are resident on one replica, and which of them may be in use.
 *
 * An adapter that may be in use counts as such until it is reported idle by a report requested late enough that it
 * can't predate that use.
 */
class Residency
{
public:
    enum class State
    {
        Loading,
        Resident,
        Draining, ///< Resident, but gets no new requests and is unloaded once idle.
        Unloading,
        Uncertain, ///< Whether it is resident is unknown, such as after an order without an answer.
    };
    struct Entry
    {
        State state = State::Resident;
        Millis busyUntil {-1}; ///< May be in use until then, unless a report says it is idle.
        Millis busySince;
        Millis changedAt;
    };

    /** @param reportLag how far a report's content may lag behind the time it was requested. */
    explicit Residency(Millis reportLag) : m_reportLag(reportLag)
    {
    }

    /** @return the adapter's entry, or nullptr if it isn't on the replica. */
    const Entry *find(const AdapterRef &adapter) const;
    const std::map<AdapterRef, Entry> &entries() const
    {
        return m_entries;
    }
    /** @return the number of slots that are or may be taken. */
    int64_t slotsTaken() const
    {
        return static_cast<int64_t>(m_entries.size());
    }
    /** @return whether requests for @p adapter may be sent. */
    bool isUsable(const AdapterRef &adapter) const;
    /** @return whether @p adapter is on the replica and no request can be using it. */
    bool isIdle(const AdapterRef &adapter, Millis now) const;

    void setState(const AdapterRef &adapter, State state, Millis now);
    void remove(const AdapterRef &adapter);
    void clear();
    void addRunning(const AdapterRef &adapter, int64_t change);
    /** Treats @p adapter as in use until a later report says it is idle, at most until @p until. */
    void markBusy(const AdapterRef &adapter, Millis now, Millis until);

    /**
     * Updates the entries from the engine's report.
     *
     * @param requestedAt when the report was requested.
     * @param busyUntil how long an adapter that is new in the report and active may stay in use.
     */
    void apply(const StateReport &report, Millis requestedAt, Millis now, Millis busyUntil);

private:
    std::map<AdapterRef, Entry> m_entries;
    std::map<AdapterRef, int64_t> m_running; ///< Requests sent by this owner; kept when the adapter's entry is removed.
    Millis m_reportLag;
};

}
