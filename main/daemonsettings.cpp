#include "main/daemonsettings.h"

#include "config/fieldtable.h"
#include "config/yamlsource.h"
#include "main/settingschecks.h"
#include "net/endpoint.h"

#include <functional>

namespace vanillaspar
{

namespace
{

using Json = nlohmann::json;

const FieldTable<NodeSettings, HostId NodeSettings::*, DomainId NodeSettings::*, std::string NodeSettings::*,
                 Millis NodeSettings::*, bool NodeSettings::*>
    nodeFields({
        {"host", &NodeSettings::host, true},
        {"domain", &NodeSettings::domain, true},
        {"peer-address", &NodeSettings::peerAddress, true},
        {"caller-address", &NodeSettings::callerAddress, true},
        {"heartbeat-interval-ms", &NodeSettings::heartbeatInterval, false},
        {"renew-interval-ms", &NodeSettings::renewInterval, false},
        {"short-lease-ms", &NodeSettings::shortLease, false},
        {"long-lease-ms", &NodeSettings::longLease, false},
        {"lease-margin-ms", &NodeSettings::leaseMargin, false},
        {"confirm-limit-ms", &NodeSettings::confirmLimit, false},
        {"isolation-limit-ms", &NodeSettings::isolationLimit, false},
        {"admission-wait-ms", &NodeSettings::admissionWait, false},
        {"default-deadline-ms", &NodeSettings::defaultDeadline, false},
        {"longest-deadline-ms", &NodeSettings::longestDeadline, false},
        {"report-lag-ms", &NodeSettings::reportLag, false},
        {"stray-order-bar-ms", &NodeSettings::maxOrderDelay, false},
        {"claim-retention-ms", &NodeSettings::claimRetention, false},
        {"serves-unconfirmed", &NodeSettings::servesUnconfirmed, false},
    });

const FieldTable<DaemonSettings, std::string DaemonSettings::*> daemonFields({
    {"platform-address", &DaemonSettings::platformAddress, true},
    {"cluster-secret", &DaemonSettings::clusterSecret, true},
    {"operator-hash", &DaemonSettings::operatorHash, false},
    {"log-format", &DaemonSettings::logFormat, false},
    {"log-file", &DaemonSettings::logFile, false},
});

std::vector<std::string> takeSeeds(Json &fields)
{
    std::vector<std::string> seeds;
    const auto found = fields.find("seeds");
    if (found == fields.end()) {
        return seeds;
    }
    if (!found->is_array()) {
        throw DocumentError("/seeds: must be a list");
    }
    for (const Json &seed : *found) {
        seeds.push_back(Endpoint::parse(seed.get<std::string>()).text());
    }
    fields.erase("seeds");
    return seeds;
}

void check(const DaemonSettings &settings)
{
    Endpoint::parse(settings.platformAddress);
    Endpoint::parse(settings.node.peerAddress);
    Endpoint::parse(settings.node.callerAddress);
    checkSecret(settings.clusterSecret);
    checkLogFormat(settings.logFormat);
    if (settings.node.renewInterval * 2 > settings.node.shortLease) {
        throw DocumentError("/short-lease-ms: must be at least twice renew-interval-ms");
    }
    if (settings.node.longLease < settings.node.shortLease * 2) {
        throw DocumentError("/long-lease-ms: must be at least twice short-lease-ms");
    }
    if (settings.node.heartbeatInterval.value < 1 || settings.node.renewInterval.value < 1) {
        throw DocumentError("/heartbeat-interval-ms: must be above 0, like renew-interval-ms");
    }
}

}

DaemonSettings DaemonSettings::fromYaml(const std::string &text, const std::string &name)
{
    const YamlSource source(text, name);
    try {
        Json nodePart = source.json().is_object() ? source.json() : Json::object();
        const std::vector<std::string> seeds = takeSeeds(nodePart);
        DaemonSettings settings = daemonFields.extract(nodePart, "");
        settings.node = nodeFields.read(nodePart, "");
        settings.node.seeds = seeds;
        check(settings);
        return settings;
    } catch (const DocumentError &error) {
        throw DocumentError(source.withLocation(error.what()));
    } catch (const Json::exception &error) {
        throw DocumentError(source.withLocation("/seeds", error.what()));
    }
}

}
