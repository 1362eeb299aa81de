#include "serving/membership/storeavailability.h"

#include <algorithm>

namespace vanillaspar::serving
{

namespace
{

// Replicas write entries that expired in a store outage, or that a restore lost, again within two seconds of its end.
constexpr Millis expiryGrace(2200);
// If the store has answered no host for this long, it is an outage. Hosts otherwise confirm the configuration more
// often than this, and replicas' entries need longer to expire.
constexpr Millis outageThreshold(3000);

}

bool StoreAvailability::update(Millis answeredAt)
{
    if (answeredAt <= m_answeredAt) {
        return false;
    }
    const bool wasOutage = m_answeredAt.value >= 0 && answeredAt - m_answeredAt > outageThreshold;
    if (wasOutage || m_availableSince.value < 0) {
        m_availableSince = answeredAt;
    }
    m_answeredAt = answeredAt;
    return wasOutage;
}

Millis StoreAvailability::expiryGraceEnd(Millis recoveredAt) const
{
    // The store may have recovered before this host's own call succeeded, or have refused this host alone.
    return recoveredAt.value < 0 ? Millis(-1) : std::min(recoveredAt, m_availableSince) + expiryGrace;
}

Millis StoreAvailability::restoreGraceEnd(Millis now)
{
    return now + expiryGrace;
}

}
