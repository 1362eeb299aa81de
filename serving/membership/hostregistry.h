#pragma once

#include "core/units.h"

#include <functional>

namespace vanillaspar
{
class Clock;
class EventLog;
}

namespace vanillaspar::serving
{

class FleetMembers;
class RecordMirror;
class StateStore;
struct ServingSettings;

/** Keeps this host's record in the store, and removes records of hosts that don't return. */
class HostRegistry
{
public:
    /** @param onRemoved called when another host has removed this host's record. */
    HostRegistry(const ServingSettings &settings, const Clock &clock, StateStore &store, EventLog &log,
                 const FleetMembers &members, RecordMirror &coordination, std::function<void()> onRemoved);

    /** Writes this host's record if the store's is missing or different, as it may be after a restore of the store. */
    void tick();
    /** Removes the record of one host that has been silent for too long; to be called on the leader only. */
    void removeLostHost();

    /** @return whether the store has this host's current record. */
    bool isRegistered() const
    {
        return m_isRegistered;
    }

private:
    const ServingSettings &m_settings;
    const Clock &m_clock;
    StateStore &m_store;
    EventLog &m_log;
    const FleetMembers &m_members;
    RecordMirror &m_coordination;
    std::function<void()> m_onRemoved;
    bool m_isRegistered = false;
    bool m_isInMirror = false; ///< Whether the mirror had the record at the last tick.
    bool m_isWriting = false;
    Millis m_nextWriteAt {0};
    int64_t m_era = 0; ///< Of the coordination records at the last tick.
};

}
