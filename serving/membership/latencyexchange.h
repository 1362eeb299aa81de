#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <cstdint>
#include <set>

namespace vanillaspar
{
class Clock;
class EventLog;
class PeerLink;
struct LatencyReport;
}

namespace vanillaspar::serving
{

class BackendTable;
class FleetMembers;
class ReplicaLatencies;
struct ServingSettings;

/** Dependencies of LatencyExchange. They must outlive it. */
struct LatencyContext
{
    const ServingSettings &settings;
    const Clock &clock;
    PeerLink &peers;
    EventLog &log;
    const FleetMembers &members;
    const BackendTable &backends;
    ReplicaLatencies &latencies;
};

/**
 * Exchanges what hosts observed of replicas' latencies, along the same ways as heartbeats.
 *
 * A leaf host reports to its domain's hubs, a hub to the other hubs for itself and its leaf hosts, and to its leaf
 * hosts for all others. A host that has just started uses its hub's report from the first one on. Off unless the
 * deployment asks for learned capacity.
 */
class LatencyExchange
{
public:
    explicit LatencyExchange(const LatencyContext &context);

    /** Sends one round of reports; to be called after each round of heartbeats. */
    void send();
    /** Applies a report. @param from the sender. */
    void receive(const HostId &from, const LatencyReport &report);
    /** @return number of replicas that take at least twice as long as their pool's median. */
    double slowCount() const
    {
        return static_cast<double>(m_slow.size());
    }

private:
    /** Logs, on hubs, which replicas became slow and which recovered. */
    void logChanges();

    LatencyContext m_context;
    uint64_t m_round = 0;
    HostId m_relay; ///< The hub that reports for all other hosts; empty if this host receives the hubs' reports itself.
    Millis m_relayHeardAt {0};
    std::set<uint32_t> m_slow; ///< Short ids.
};

}
