#pragma once

#include "core/units.h"

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

/** Keeps this host's record in the store, and removes those of hosts that are gone for good. */
class HostRegistry
{
public:
    HostRegistry(const ServingSettings &settings, const Clock &clock, StateStore &store, EventLog &log,
                 const FleetMembers &members, RecordMirror &coordination);

    /** Writes the own record if the store has none or another one. */
    void tick();
    /** Removes the record of a host that has been silent for long; for the first host only. */
    void removeLostHost();

    /** @return whether the store has this host's record as it should be. */
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
    bool m_isRegistered = false;
    bool m_isInMirror = false; ///< Whether the mirror had the record when it was looked at last.
    bool m_isWriting = false;
    Millis m_nextWriteAt {0};
};

}
