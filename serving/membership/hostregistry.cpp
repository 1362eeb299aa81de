#include "serving/membership/hostregistry.h"

#include "core/clock.h"
#include "core/eventlog.h"
#include "serving/interfaces/servingsettings.h"
#include "serving/interfaces/statestore.h"
#include "serving/membership/fleetmembers.h"
#include "serving/membership/recordmirror.h"

#include <nlohmann/json.hpp>

namespace vanillaspar::serving
{

namespace
{

constexpr Millis writeRetryInterval(500);
// Beyond the time for which a silent host may use a configuration that it can't confirm.
constexpr Millis removalMargin(1000);

}

HostRegistry::HostRegistry(const ServingSettings &settings, const Clock &clock, StateStore &store, EventLog &log,
                           const FleetMembers &members, RecordMirror &coordination, std::function<void()> onRemoved)
    : m_settings(settings)
    , m_clock(clock)
    , m_store(store)
    , m_log(log)
    , m_members(members)
    , m_coordination(coordination)
    , m_onRemoved(std::move(onRemoved))
{
}

void HostRegistry::tick()
{
    const Millis now = m_clock.now();
    const std::string name = FleetMembers::recordName(m_settings.host);
    const auto known = m_coordination.records().find(name);
    const bool isKnown = known != m_coordination.records().end();
    if (m_coordination.position().era != m_era) {
        m_era = m_coordination.position().era;
        const bool isLost = m_isRegistered && !isKnown;
        m_isRegistered = false; // the store was restored and may have lost or changed the record
        m_isInMirror = false;
        if (isLost) {
            m_log.record(EventCode::RecordMissing, name, "lost in a restore of the store; writing it again");
        }
    }
    if (m_isInMirror && !isKnown) {
        m_isRegistered = false; // another host removed it while this one was cut off
        m_onRemoved();
    }
    m_isInMirror = isKnown;
    if (m_isRegistered || m_isWriting || !m_coordination.isLoaded() || now < m_nextWriteAt) {
        return;
    }
    nlohmann::json content {{"domain", m_settings.domain.text()},
                            {"peer", m_settings.peerAddress},
                            {"caller", m_settings.callerAddress},
                            {"capacity", m_settings.capacity}};
    if (m_settings.features.recordRelay) {
        content["relay"] = true;
    }
    if (isKnown && known->second.content == content) {
        m_isRegistered = true;
        return;
    }
    m_isWriting = true;
    m_store.write(Collection::Coordination, name, content, isKnown ? known->second.position : StorePosition(),
                  [this](StoreResult result) {
                      m_isWriting = false;
                      m_isRegistered = result == StoreResult::Done;
                      m_nextWriteAt = m_clock.now() + writeRetryInterval;
                      if (!m_isRegistered) {
                          m_coordination.refresh();
                      }
                  });
}

void HostRegistry::removeLostHost()
{
    // Until its record is removed, a lost host still counts when quotas are divided, so its share of each stays unused.
    // A host that doesn't reach the store admits nothing after the revocation limit, as it can't confirm its
    // configuration any more. One that does was only cut off from its peers, and writes its record again.
    const Millis recordRetention = m_settings.revokeLimit + removalMargin;
    const Millis now = m_clock.now();
    for (const auto &[host, member] : m_members.peers()) {
        const auto record = m_coordination.records().find(FleetMembers::recordName(host));
        if (record == m_coordination.records().end() || now - member.lastContact() < recordRetention) {
            continue;
        }
        m_log.record(EventCode::PeerRemoved, host.text(), "silent for too long; removing its record");
        m_store.remove(Collection::Coordination, record->first, record->second.position, [this](StoreResult) {
            m_coordination.refresh();
        });
        return; // the next call removes the next one
    }
}

}
