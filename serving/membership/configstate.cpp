#include "serving/membership/configstate.h"

#include "core/eventlog.h"
#include "serving/interfaces/statestore.h"
#include "serving/membership/recordmirror.h"

namespace vanillaspar::serving
{

namespace
{

// A host whose record was removed while it was cut off is known to the others that long after it reaches the store.
constexpr Millis comparisonTime(4000);
// Peers state their configuration's version four times a second. The first one may have been cut off as well.
constexpr Millis proofRounds(500);

}

bool ConfigState::admit(const StoredRecord &record, ConfigVersion version, Millis now, EventLog &log)
{
    if (record.isRestored || (m_position.isNone() && record.position.era > 0)) {
        m_comparedAt = now + comparisonTime;
    }
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

void ConfigState::onPeerCopy(const CopyState &copy, RecordMirror &mirror, Millis now)
{
    if (copy.position > m_position && mirror.isLoaded()) {
        mirror.refresh();
    } else if (copy.position == m_position && now >= m_comparedAt) {
        m_freshAsOf = std::max(m_freshAsOf, copy.freshAsOf);
    }
}

void ConfigState::onPeerVersion(StorePosition position, ConfigVersion version, Millis now)
{
    if (position == m_position && !position.isNone()) {
        m_peerVersion = std::max(m_peerVersion, version);
        m_comparedAt = std::min(m_comparedAt, now + proofRounds);
    }
}

bool ConfigState::isOutdated(Millis now) const
{
    return (m_freshAsOf.value < 0 && now < m_comparedAt) || m_peerVersion > m_version;
}

}
