#include "serving/membership/recordrelay.h"

#include "core/clock.h"
#include "core/hash.h"
#include "serving/interfaces/servingsettings.h"
#include "serving/membership/fleetmembers.h"
#include "serving/membership/pollintervals.h"
#include "serving/membership/recordmirror.h"

namespace vanillaspar::serving
{

RecordRelay::RecordRelay(const ServingSettings &settings, const Clock &clock, StateStore &store, PeerLink &peers,
                         EventLog &log, const FleetMembers &members)
    : m_settings(settings)
    , m_clock(clock)
    , m_isEnabled(settings.features.recordRelay)
    , m_store(store)
    , m_members(members)
    , m_copies(clock, peers)
    , m_relayedStore({settings, clock, store, peers, log, members, m_copies}, stableHash(members.incarnation().text()))
{
}

StateStore &RecordRelay::store()
{
    return m_isEnabled ? m_relayedStore : m_store;
}

void RecordRelay::setMirrors(const std::vector<std::pair<Collection, const RecordMirror *>> &mirrors)
{
    for (const auto &[collection, mirror] : mirrors) {
        m_copies.add(collection, *mirror);
    }
}

void RecordRelay::onRequest(const HostId &from, const RecordRequest &request)
{
    if (m_isEnabled) {
        m_copies.onRequest(from.text(), request);
    }
}

void RecordRelay::onAnswer(const HostId &from, const RecordAnswer &answer)
{
    m_relayedStore.onAnswer(from, answer);
}

void RecordRelay::tick()
{
    if (m_isEnabled) {
        m_relayedStore.tick();
        m_copies.tick();
    }
}

const PollIntervals &RecordRelay::intervals() const
{
    const Millis now = m_clock.now();
    if (m_isEnabled && !m_relayedStore.source().isEmpty()) {
        return relayedPolling;
    }
    if (m_isEnabled && m_members.isHub(m_settings.host)) {
        return relayRootPolling;
    }
    if (m_members.isLeader(now)) {
        return leaderPolling;
    }
    const HostId hubId = m_members.hubOf(m_settings.host);
    const auto hub = m_members.peers().find(hubId);
    const bool isLeafHost = hubId != m_settings.host && hub != m_members.peers().end()
        && m_members.isHeardDirectly(hubId, now) && hub->second.status.reachesStore;
    return isLeafHost ? leafPolling : hubPolling;
}

void RecordRelay::addGauges(std::vector<std::pair<std::string, double>> &gauges) const
{
    if (m_isEnabled) {
        gauges.emplace_back("vanillaspar_relayed_reads", static_cast<double>(m_relayedStore.relayedReads()));
        gauges.emplace_back("vanillaspar_relay_store_reads", static_cast<double>(m_relayedStore.storeReads()));
    }
}

}
