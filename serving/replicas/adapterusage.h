#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <cstdint>
#include <map>
#include <string>

namespace vanillaspar
{
struct AdapterUseReport;
}

namespace vanillaspar::serving
{

/** The numbers of requests that use the adapters of one replica, as the hosts last reported them. */
class AdapterUsage
{
public:
    /** Replaces what a host reported before. */
    void onReport(const HostId &host, const AdapterUseReport &report, Millis now);
    /** @return requests of all hosts that use an adapter; old reports don't count. */
    int64_t running(const std::string &weights, Millis now) const;

private:
    /** What one host last reported. */
    struct HostUsage
    {
        std::map<std::string, int64_t> running; ///< Running requests by adapter.
        Millis at; ///< Arrival of the report.
    };

    std::map<HostId, HostUsage> m_hosts;
};

}
