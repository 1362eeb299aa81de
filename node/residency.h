#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <map>

namespace vanillaspar
{

struct StateReport;

/**
 * What an owner knows about the adapters on one replica.
 *
 * An adapter whose use is uncertain counts as in use until a report that can't be too old says that it is idle.
 */
class Residency
{
public:
    enum class State
    {
        Loading,
        Resident,
        Draining, ///< Resident, gets no new work, to be unloaded once idle.
        Unloading,
        Uncertain, ///< An order was sent and its outcome is unknown.
    };
    struct Entry
    {
        State state = State::Resident;
        Millis busyUntil {-1}; ///< Possibly in use until then, unless a report says otherwise.
        Millis busySince;
        Millis changedAt;
    };

    /** @param reportLag how old a report may be. */
    explicit Residency(Millis reportLag) : m_reportLag(reportLag)
    {
    }

    /** @return the adapter's entry, or nullptr if it isn't on the replica. */
    const Entry *find(const AdapterRef &adapter) const;
    const std::map<AdapterRef, Entry> &entries() const
    {
        return m_entries;
    }
    /** @return slots that are taken or may be. */
    int64_t slotsTaken() const
    {
        return static_cast<int64_t>(m_entries.size());
    }
    /** @return whether requests may be sent to it. */
    bool isUsable(const AdapterRef &adapter) const;
    /** @return whether nothing can be running on it. */
    bool isIdle(const AdapterRef &adapter, Millis now) const;

    void setState(const AdapterRef &adapter, State state, Millis now);
    void remove(const AdapterRef &adapter);
    void clear();
    void addRunning(const AdapterRef &adapter, int64_t change);
    /** Treats the adapter as possibly in use until a later report says it is idle, or until @p until. */
    void markBusy(const AdapterRef &adapter, Millis now, Millis until);

    /**
     * Takes a report.
     *
     * @param requestedAt when the report was asked for.
     * @param busyUntil how long an adapter may be in use that the report brings up.
     */
    void apply(const StateReport &report, Millis requestedAt, Millis now, Millis busyUntil);

private:
    std::map<AdapterRef, Entry> m_entries;
    std::map<AdapterRef, int64_t> m_running; ///< Requests that this owner runs, kept when an entry goes.
    Millis m_reportLag;
};

}
