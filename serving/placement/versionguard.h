#pragma once

#include "core/units.h"

#include <cstdint>
#include <optional>

namespace vanillaspar
{
class Clock;
}

namespace vanillaspar::serving
{

class AdapterVersions;
class RequestLog;
class ResidencyMap;
struct ActiveRequest;

/**
 * Keeps requests from beginning on an outdated version of their adapter.
 *
 * A request may wait in its replica for longer than the version that it was sent on is allowed.
 */
class VersionGuard
{
public:
    VersionGuard(const Clock &clock, const AdapterVersions &versions, const ResidencyMap &residency, RequestLog &log);

    /** A request is sent to its replica: notes what is known of the versions. */
    void onSending(ActiveRequest &active) const;
    /** The replica answers. @param version on which it does, if it says so. */
    void onAnswered(const ActiveRequest &active, std::optional<int64_t> version);

    /**
     * Tells whether a request that its replica has not begun must be cancelled, as it could begin on an outdated
     * version after the limit; logs it if so.
     */
    bool mustWithdraw(ActiveRequest &active);

private:
    const Clock &m_clock;
    const AdapterVersions &m_versions;
    const ResidencyMap &m_residency;
    RequestLog &m_log;
};

}
