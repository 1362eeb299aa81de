#include "serving/membership/demandexchange.h"

#include "cluster/message.h"
#include "cluster/peerlink.h"
#include "core/clock.h"
#include "core/eventlog.h"
#include "serving/interfaces/servingsettings.h"
#include "serving/membership/fleetmembers.h"

#include <algorithm>
#include <limits>
#include <string>

namespace vanillaspar::serving
{

namespace
{

constexpr uint64_t calmRounds = 2; // a leaf host without waiting requests reports only in every second round

template<class Field>
Field clampTo(int64_t value)
{
    return static_cast<Field>(std::clamp<int64_t>(value, 0, std::numeric_limits<Field>::max()));
}

DemandReport makeReport(HeartbeatScope scope, const PoolDemands &demands)
{
    DemandReport report;
    report.scope = scope;
    for (const auto &[pool, demand] : demands) {
        PoolDemandReport entry {pool, clampTo<uint16_t>(demand.sends), {}};
        for (const auto &[level, waiting] : demand.waiting) {
            entry.levels.push_back({clampTo<uint8_t>(level), clampTo<uint16_t>(waiting)});
        }
        report.pools.push_back(std::move(entry));
    }
    return report;
}

PoolDemands readReport(const DemandReport &report)
{
    PoolDemands demands;
    for (const PoolDemandReport &entry : report.pools) {
        PoolDemand &demand = demands[entry.pool];
        demand.sends += entry.sends;
        for (const LevelDemand &level : entry.levels) {
            demand.waiting[level.level] += level.waiting;
        }
    }
    return demands;
}

bool hasWaiting(const PoolDemands &demands)
{
    return std::any_of(demands.begin(), demands.end(), [](const auto &entry) {
        return entry.second.waitingCount() > 0;
    });
}

}

DemandExchange::DemandExchange(const DemandContext &context) : m_context(context)
{
}

void DemandExchange::sendTo(const HostId &receiver, HeartbeatScope scope, const PoolDemands &demands)
{
    const auto member = m_context.members.peers().find(receiver);
    if (member != m_context.members.peers().end()) {
        m_context.peers.send(member->second.peerAddress, makeReport(scope, demands));
    }
}

void DemandExchange::send()
{
    const bool isEnabled = m_context.settings.features.overloadControl;
    m_context.control.setEnabled(isEnabled);
    if (!isEnabled) {
        return;
    }
    const Millis now = m_context.clock.now();
    const FleetMembers &members = m_context.members;
    const HostId &self = m_context.settings.host;
    m_own = m_context.control.takeDemands(now);
    apply();
    logOverloads();
    ++m_round;
    if (!members.isHub(self)) {
        if (hasWaiting(m_own) || m_round % calmRounds == 0) {
            sendTo(members.hubOf(self), HeartbeatScope::SenderAndLeaves, m_own);
        }
        return;
    }
    const std::set<HostId> leafHosts = members.leafHosts(now);
    PoolDemands aggregate = m_own;
    addDemands(aggregate, m_reports.sumOf(leafHosts, now));
    for (const HostId &hub : members.hubs()) {
        if (hub != self) {
            sendTo(hub, HeartbeatScope::SenderAndLeaves, aggregate);
        }
    }
    for (const HostId &leaf : leafHosts) {
        PoolDemands others = m_own;
        addDemands(others, m_reports.sum(now, leaf));
        // Without waiting requests there is nothing to yield to. The last report that had some is replaced at once.
        const bool isInformed = m_informed.erase(leaf) > 0;
        if (hasWaiting(others)) {
            m_informed.insert(leaf);
        } else if (!isInformed) {
            continue;
        }
        sendTo(leaf, HeartbeatScope::AllButReceiver, others);
    }
}

void DemandExchange::receive(const HostId &from, const DemandReport &report)
{
    const FleetMembers &members = m_context.members;
    const HostId &self = m_context.settings.host;
    if (!m_context.settings.features.overloadControl || members.peers().count(from) == 0) {
        return;
    }
    const bool isFromHub = members.isHub(from);
    if (!members.isHub(self)) {
        if (report.scope != HeartbeatScope::AllButReceiver || members.hubOf(self) != from) {
            return;
        }
        m_reports.keepOnly(from); // it reports for all others, also for those that were heard directly before
    } else if (report.scope != HeartbeatScope::SenderAndLeaves || (!isFromHub && members.hubOf(from) != self)) {
        return;
    }
    m_reports.set(from, readReport(report), m_context.clock.now());
    apply();
}

void DemandExchange::apply()
{
    m_context.control.setOtherDemands(m_reports.sum(m_context.clock.now()));
}

void DemandExchange::logOverloads()
{
    const std::map<PoolId, int64_t> overloaded = m_context.control.overloadedPools(m_context.clock.now());
    const OverloadCounts &counts = m_context.control.counts();
    for (const auto &[pool, waiting] : overloaded) {
        if (m_overloads.emplace(pool, counts).second) {
            m_context.log.record(EventCode::OverloadBegan, pool.text(),
                                 std::to_string(waiting) + " requests wait at all hosts");
        }
    }
    std::erase_if(m_overloads, [&](const auto &entry) {
        const bool isOver = overloaded.count(entry.first) == 0;
        if (isOver) {
            m_context.log.record(EventCode::OverloadEnded, entry.first.text(),
                                 "meanwhile on this host, for all pools: refused "
                                     + std::to_string(counts.refused - entry.second.refused) + ", held back "
                                     + std::to_string(counts.held - entry.second.held) + ", sent by the floor "
                                     + std::to_string(counts.owed - entry.second.owed));
        }
        return isOver;
    });
}

}
