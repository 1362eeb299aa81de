#include "main/entrysettings.h"

#include "config/fieldtable.h"
#include "config/yamlsource.h"
#include "net/endpoint.h"

namespace vanillaspar
{

namespace
{

using Json = nlohmann::json;
using serving::ServingSettings;

constexpr size_t shortestSecret = 16; // characters

const FieldTable<ServingSettings, HostId ServingSettings::*, DomainId ServingSettings::*,
                 std::string ServingSettings::*, Millis ServingSettings::*>
    servingFields({
        {"host", &ServingSettings::host, true},
        {"domain", &ServingSettings::domain, true},
        {"peer-address", &ServingSettings::peerAddress, true},
        {"caller-address", &ServingSettings::callerAddress, true},
        {"revoke-limit-ms", &ServingSettings::revokeLimit, false},
        {"order-lease-ms", &ServingSettings::orderLease, false},
        {"version-limit-ms", &ServingSettings::versionLimit, false},
    });

const FieldTable<EntrySettings, std::string EntrySettings::*> entryFields({
    {"directory-address", &EntrySettings::directoryAddress, true},
    {"readiness-address", &EntrySettings::readinessAddress, true},
    {"metrics-address", &EntrySettings::metricsAddress, false},
    {"store-address", &EntrySettings::storeAddress, true},
    {"cluster-secret", &EntrySettings::clusterSecret, true},
    {"log-format", &EntrySettings::logFormat, false},
});

/** Moves a number out of the fields that a table reads. */
void takeNumber(Json &fields, const char *name, double &value)
{
    const auto found = fields.find(name);
    if (found == fields.end()) {
        return;
    }
    if (!found->is_number()) {
        throw DocumentError(std::string("/") + name + ": must be a number");
    }
    value = found->get<double>();
    fields.erase(name);
}

void checkAddress(const char *field, const std::string &address)
{
    try {
        Endpoint::parse(address);
    } catch (const DocumentError &error) {
        throw DocumentError(std::string("/") + field + ": " + error.what());
    }
}

void check(const EntrySettings &settings)
{
    checkAddress("peer-address", settings.serving.peerAddress);
    checkAddress("caller-address", settings.serving.callerAddress);
    checkAddress("directory-address", settings.directoryAddress);
    checkAddress("readiness-address", settings.readinessAddress);
    checkAddress("store-address", settings.storeAddress);
    if (!settings.metricsAddress.empty()) {
        checkAddress("metrics-address", settings.metricsAddress);
    }
    if (settings.clusterSecret.size() < shortestSecret) {
        throw DocumentError("/cluster-secret: is shorter than 16 characters");
    }
    if (settings.logFormat != "text" && settings.logFormat != "json") {
        throw DocumentError("/log-format: must be text or json");
    }
    if (settings.serving.revokeLimit.value < 1 || settings.serving.orderLease.value < 1
        || settings.serving.versionLimit.value < 1 || settings.serving.shutdownGrace.value < 1
        || settings.serving.retryWindow.value < 1) {
        throw DocumentError("/revoke-limit-ms: must be above 0, like the other times");
    }
}

}

EntrySettings EntrySettings::fromYaml(const std::string &text, const std::string &name)
{
    constexpr double millisPerSecond = 1000;
    const YamlSource source(text, name);
    try {
        Json servingPart = source.json().is_object() ? source.json() : Json::object();
        Json entryPart = Json::object();
        for (const char *field : {"directory-address", "readiness-address", "metrics-address", "store-address",
                                  "cluster-secret", "log-format"}) {
            if (servingPart.contains(field)) {
                entryPart[field] = servingPart[field];
                servingPart.erase(field);
            }
        }
        ServingSettings numbers;
        double grace = static_cast<double>(numbers.shutdownGrace.value) / millisPerSecond;
        double window = static_cast<double>(numbers.retryWindow.value) / millisPerSecond;
        takeNumber(servingPart, "shutdown-grace-s", grace);
        takeNumber(servingPart, "retry-window-s", window);
        takeNumber(servingPart, "retry-ratio", numbers.retryRatio);
        takeNumber(servingPart, "retry-allowance", numbers.retryAllowance);
        EntrySettings settings = entryFields.read(entryPart, "");
        settings.serving = servingFields.read(servingPart, "");
        settings.serving.shutdownGrace = Millis(static_cast<int64_t>(grace * millisPerSecond));
        settings.serving.retryWindow = Millis(static_cast<int64_t>(window * millisPerSecond));
        settings.serving.retryRatio = numbers.retryRatio;
        settings.serving.retryAllowance = numbers.retryAllowance;
        check(settings);
        return settings;
    } catch (const DocumentError &error) {
        throw DocumentError(source.located(error.what()));
    }
}

}
