#pragma once

#include "core/units.h"

#include <cstdint>
#include <map>
#include <string>

namespace vanillaspar::serving
{

/**
 * Tracks the newest announced version of each adapter and the oldest version that requests may still use.
 *
 * The previous version may be used for a grace period after a new one is announced.
 */
class AdapterVersions
{
public:
    /** Earlier than any time of the clock. */
    static constexpr Millis unknownTime {INT64_MIN / 2};

    /**
     * Records the announcement of a version; ignored unless it is newer than every announced one.
     *
     * @param weights "model/adapter".
     * @param since when it was announced at the earliest; unknownTime if it may be of any age.
     */
    void announce(const std::string &weights, int64_t version, Millis since);

    /** @return the newest announced version; 0 if none was announced. */
    int64_t newestVersion(const std::string &weights) const;
    /** @return the oldest version that a request which starts now may use; 0 for any. */
    int64_t minimumVersion(const std::string &weights, Millis now) const;
    /** @return when the oldest version newer than @p version was announced at the earliest; unknownTime if that isn't
     * known. */
    Millis supersededAt(const std::string &weights, int64_t version) const;
    /**
     * Sets how long after an announcement requests may begin on the version before. In the first half of it they may
     * still be sent.
     */
    void setLimit(Millis limit)
    {
        m_limit = limit;
    }
    Millis limit() const
    {
        return m_limit;
    }
    /** @return until when a request that a replica got on @p version, which has a successor, must have begun. */
    Millis latestBegin(const std::string &weights, int64_t version) const;

private:
    struct RequiredVersion
    {
        int64_t version = 0; ///< Lower bound before any grace period is over.
        std::map<int64_t, Millis> announced; ///< Later versions and when each was announced at the earliest.
    };

    std::map<std::string, int64_t> m_newestVersions;
    std::map<std::string, RequiredVersion> m_requiredVersions;
    Millis m_limit {5000};
};

}
