#pragma once

#include "core/ids.h"
#include "core/units.h"
#include "serving/interfaces/storeposition.h"
#include "serving/membership/recordmirror.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <set>

namespace vanillaspar
{
class Clock;
class EventLog;
class Random;
struct EvacuationReport;
}

namespace vanillaspar::serving
{

/**
 * The failure domains whose replicas get nothing new, by the operator's records in the store.
 *
 * Hubs read the records; leaf hosts learn the domains from their hubs. Each set of domains has the position of the
 * store of which it is the complete state, and only a newer one replaces it. A host that learns nothing keeps the last
 * set.
 */
class Evacuations
{
public:
    /** Called with the new set when it has changed. */
    using Listener = std::function<void(const std::set<DomainId> &)>;

    Evacuations(StateStore &store, const Clock &clock, Random &random, EventLog &log, Listener listener);

    /** Reads the store if due. @param isReader whether this host follows the store's records itself. */
    void tick(bool isReader);
    /** Adopts what a hub reported if it is newer. @return whether the set changed. */
    bool onReport(const EvacuationReport &report);
    /** @return the set and its position to report to other hosts; std::nullopt if none is known. */
    std::optional<EvacuationReport> report() const;
    /** @return whether this host knows a set. */
    bool isKnown() const
    {
        return m_position.has_value();
    }
    /** @return when this host last learned the set or that it hasn't changed; when it started if it never has. */
    Millis learnedAt() const
    {
        return m_learnedAt;
    }
    const std::set<DomainId> &domains() const
    {
        return m_domains;
    }

private:
    /** @return whether @p position is newer than the one of the set that is known. */
    bool isNewer(StorePosition position) const;
    bool adopt(StorePosition position, std::set<DomainId> domains);

    const Clock &m_clock;
    EventLog &m_log;
    Listener m_listener;
    std::optional<StorePosition> m_position; ///< Of the store, of which m_domains is the state.
    std::set<DomainId> m_domains;
    Millis m_learnedAt;
    RecordMirror m_mirror;
};

}
