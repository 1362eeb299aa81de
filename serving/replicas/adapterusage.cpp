#include "serving/replicas/adapterusage.h"

#include "cluster/messages/fleet.h"

namespace vanillaspar::serving
{

namespace
{

constexpr Millis reportLifetime(700); // reports are sent five times a second; some are lost

}

void AdapterUsage::onReport(const HostId &host, const AdapterUseReport &report, Millis now)
{
    HostUsage &usage = m_hosts[host];
    usage.at = now;
    usage.running.clear();
    for (const AdapterUse &use : report.uses) {
        usage.running[use.weights] = use.running;
    }
}

int64_t AdapterUsage::running(const std::string &weights, Millis now) const
{
    int64_t running = 0;
    for (const auto &[host, usage] : m_hosts) {
        const auto entry = usage.running.find(weights);
        if (entry != usage.running.end() && now - usage.at < reportLifetime) {
            running += entry->second;
        }
    }
    return running;
}

}
