#include "serving/placement/versionguard.h"

#include "core/clock.h"
#include "serving/queueing/activerequest.h"
#include "serving/queueing/requestlog.h"
#include "serving/replicas/adapterversions.h"
#include "serving/replicas/residencymap.h"

namespace vanillaspar::serving
{

VersionGuard::VersionGuard(const Clock &clock, const AdapterVersions &versions, const ResidencyMap &residency,
                           RequestLog &log)
    : m_clock(clock), m_versions(versions), m_residency(residency), m_log(log)
{
}

void VersionGuard::onSending(ActiveRequest &active) const
{
    const std::string &weights = active.request.weights;
    const AdapterResidency *residency = m_residency.find(active.replica, weights);
    active.versions.resident = residency == nullptr ? 0 : residency->version;
    active.versions.required = m_versions.minimumVersion(weights, m_clock.now());
    active.versions.newest = m_versions.newestVersion(weights);
    // A belief may be wrong, and the replica alone can tell.
    active.versions.expected = active.versions.newest > 0 ? active.versions.resident : 0;
}

void VersionGuard::onAnswered(const ActiveRequest &active, std::optional<int64_t> version)
{
    const Millis now = m_clock.now();
    if (active.isEngine && version && *version < m_versions.minimumVersion(active.request.weights, now)) {
        m_log.onOutdated(active, *version, m_versions.supersededAt(active.request.weights, *version), now);
    }
}

bool VersionGuard::mustWithdraw(ActiveRequest &active)
{
    const std::string &weights = active.request.weights;
    const bool isWaiting = active.isEngine && active.attempt != 0 && !active.hasBegun;
    if (!isWaiting || active.versions.resident >= m_versions.newestVersion(weights)) {
        return false;
    }
    const Millis now = m_clock.now();
    if (now < m_versions.latestBegin(weights, active.versions.resident)) {
        return false;
    }
    active.isWithdrawn = true;
    m_log.onWithdrawn(active, m_versions.supersededAt(weights, active.versions.resident), now);
    return true;
}

}
