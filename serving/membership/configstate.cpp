#include "serving/membership/configstate.h"

#include "core/eventlog.h"
#include "serving/interfaces/statestore.h"
#include "serving/membership/recordmirror.h"

namespace vanillaspar::serving
{

namespace
{

// Peers state their configuration's version four times a second to hosts that they know; a host that starts is known
// within a second.
constexpr Millis comparisonTimeout(1500);

}

bool ConfigState::admit(const StoredRecord &record, ConfigVersion version, EventLog &log)
{
    if (record.isRestored) {
        m_highestRejected = std::max(m_highestRejected, m_version);
    }
    m_position = record.position;
    if (version <= m_highestRejected) {
        if (version < m_version) {
            log.record(EventCode::ConfigOutdated, std::to_string(version.value),
                       "restored at " + record.position.text() + "; version " + std::to_string(m_version.value)
                           + " stays in force");
        }
        return false;
    }
    m_highestRejected = ConfigVersion(INT64_MIN);
    m_version = version;
    return true;
}

void ConfigState::onPeerCopy(const CopyState &copy, RecordMirror &mirror)
{
    if (copy.position > m_position && mirror.isLoaded()) {
        mirror.refresh();
    } else if (copy.position == m_position) {
        m_freshAsOf = std::max(m_freshAsOf, copy.freshAsOf);
    }
}

void ConfigState::onPeerVersion(StorePosition position, ConfigVersion version)
{
    if (position == m_position && !position.isNone()) {
        m_isComparedWithPeer = true;
        m_peerVersion = std::max(m_peerVersion, version);
    }
}

bool ConfigState::isOutdated(Millis now) const
{
    const bool mayBeCompared = m_position.era > 0 && !m_isComparedWithPeer && now - m_startedAt < comparisonTimeout;
    return mayBeCompared || m_peerVersion > m_version;
}

}
