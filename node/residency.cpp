#include "node/residency.h"

#include "backend/backendevent.h"

namespace vanillaspar
{

const Residency::Entry *Residency::find(const AdapterRef &adapter) const
{
    const auto found = m_entries.find(adapter);
    return found == m_entries.end() ? nullptr : &found->second;
}

bool Residency::isUsable(const AdapterRef &adapter) const
{
    const Entry *entry = find(adapter);
    return entry != nullptr && entry->state == State::Resident;
}

bool Residency::isIdle(const AdapterRef &adapter, Millis now) const
{
    const Entry *entry = find(adapter);
    return entry != nullptr && m_running.count(adapter) == 0 && entry->busyUntil < now;
}

void Residency::setState(const AdapterRef &adapter, State state, Millis now)
{
    Entry &entry = m_entries[adapter];
    entry.state = state;
    entry.changedAt = now;
}

void Residency::remove(const AdapterRef &adapter)
{
    m_entries.erase(adapter);
}

void Residency::clear()
{
    m_entries.clear();
}

void Residency::addRunning(const AdapterRef &adapter, int64_t change)
{
    int64_t &running = m_running[adapter];
    running += change;
    if (running == 0) {
        m_running.erase(adapter);
    }
}

void Residency::markBusy(const AdapterRef &adapter, Millis now, Millis until)
{
    const auto found = m_entries.find(adapter);
    if (found != m_entries.end()) {
        found->second.busySince = now;
        found->second.busyUntil = std::max(found->second.busyUntil, until);
    }
}

void Residency::apply(const StateReport &report, Millis requestedAt, Millis now, Millis busyUntil)
{
    for (const auto &[adapter, active] : report.adapters) {
        if (m_entries.count(adapter) == 0) {
            m_entries[adapter] = {State::Resident, active > 0 ? busyUntil : Millis(-1), now, now};
        }
    }
    for (auto entry = m_entries.begin(); entry != m_entries.end();) {
        Entry &known = entry->second;
        const auto reported = report.adapters.find(entry->first);
        const bool isNewer = requestedAt >= known.changedAt + m_reportLag;
        if (reported == report.adapters.end()) {
            const bool isSettled = known.state != State::Loading && known.state != State::Unloading;
            entry = isNewer && isSettled ? m_entries.erase(entry) : std::next(entry);
            continue;
        }
        if (known.state == State::Uncertain && isNewer) {
            known.state = State::Resident;
            known.changedAt = now;
        }
        if (reported->second == 0 && requestedAt >= known.busySince + m_reportLag) {
            known.busyUntil = Millis(-1);
        }
        ++entry;
    }
}

}
