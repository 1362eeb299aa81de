#pragma once

#include "cluster/messages/demand.h"
#include "core/ids.h"
#include "policy/pooldemand.h"
#include "serving/queueing/overloadcontrol.h"

#include <cstdint>
#include <map>
#include <set>

namespace vanillaspar
{
class Clock;
class EventLog;
class PeerLink;
}

namespace vanillaspar::serving
{

class FleetMembers;
struct ServingSettings;

/** Dependencies of DemandExchange. */
struct DemandContext
{
    const ServingSettings &settings;
    const Clock &clock;
    PeerLink &peers;
    EventLog &log;
    const FleetMembers &members;
    OverloadControl &control;
};

/**
 * Exchanges the demand for pools with other hosts while overload control is enabled.
 *
 * A leaf host reports its own demand to its hub, a hub that of itself and its leaf hosts to the other hubs, and to each
 * of its leaf hosts that of all others. Each host's demand is counted once. Reports aren't confirmed: the next one
 * replaces them, and an old one counts for nothing, so that a host without news decides alone.
 */
class DemandExchange
{
public:
    explicit DemandExchange(const DemandContext &context);

    /** Sends one round of reports and applies those that arrived; to be called every 100 ms. */
    void send();
    /** Records a report of another host. */
    void receive(const HostId &from, const DemandReport &report);
    /** @return the counts of this host's overload control. */
    const OverloadCounts &counts() const
    {
        return m_context.control.counts();
    }

private:
    void sendTo(const HostId &receiver, HeartbeatScope scope, const PoolDemands &demands);
    /** Passes what the other hosts want to this host's overload control. */
    void apply();
    /** Logs the pools whose overload began or ended. */
    void logOverloads();

    DemandContext m_context;
    DemandReports m_reports;
    PoolDemands m_own; ///< As of the last round.
    uint64_t m_round = 0;
    std::set<HostId> m_informed; ///< Leaf hosts whose last report had waiting requests.
    std::map<PoolId, OverloadCounts> m_overloads; ///< Overloaded pools, with the counts when that began.
};

}
