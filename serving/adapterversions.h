#pragma once

#include "core/units.h"

#include <cstdint>
#include <map>
#include <string>

namespace vanillaspar::serving
{

/** The newest version of each adapter that was announced, and which older ones may still be used. */
class AdapterVersions
{
public:
    /** Takes an announcement; an older one than is known is ignored. */
    void announce(const std::string &weights, int64_t version, Millis now);

    /** @return the newest version announced; 0 if none was. */
    int64_t newestVersion(const std::string &weights) const;
    /** @return the oldest version that a request may begin on now. */
    int64_t minimumVersion(const std::string &weights, Millis now) const;
    /** Sets how long after an announcement the version before it may be used. */
    void setGracePeriod(Millis gracePeriod)
    {
        m_gracePeriod = gracePeriod;
    }

private:
    struct RequiredVersion
    {
        int64_t version = 0; ///< Required already.
        std::map<int64_t, Millis> announced; ///< Later versions, by when they were announced.
    };

    std::map<std::string, int64_t> m_newestVersions;
    std::map<std::string, RequiredVersion> m_requiredVersions;
    Millis m_gracePeriod {2500};
};

}
