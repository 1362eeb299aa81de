#include "main/entrysettings.h"

#include "config/fieldtable.h"
#include "config/yamlsource.h"
#include "main/settingschecks.h"
#include "net/endpoint.h"
#include "platform/policyfeatures.h"

namespace vanillaspar
{

namespace
{

using Json = nlohmann::json;
using serving::ServingSettings;

constexpr double mostMemoryMb = 1024 * 1024;

const FieldTable<ServingSettings, HostId ServingSettings::*, DomainId ServingSettings::*,
                 std::string ServingSettings::*, Millis ServingSettings::*, double ServingSettings::*>
    servingFields({
        {"host", &ServingSettings::host, true},
        {"domain", &ServingSettings::domain, true},
        {"peer-address", &ServingSettings::peerAddress, true},
        {"caller-address", &ServingSettings::callerAddress, true},
        {"revoke-limit-ms", &ServingSettings::revokeLimit, false},
        {"order-lease-ms", &ServingSettings::orderLease, false},
        {"version-limit-ms", &ServingSettings::versionLimit, false},
        {"capacity", &ServingSettings::capacity, false},
        {"retry-ratio", &ServingSettings::retryRatio, false},
        {"retry-allowance", &ServingSettings::retryAllowance, false},
        {"cold-overshoot", &ServingSettings::coldOvershoot, false},
        {"cold-slack", &ServingSettings::coldSlack, false},
        {"evacuation-limit-ms", &ServingSettings::evacuationLimit, false},
    });

const FieldTable<EntrySettings, std::string EntrySettings::*, double EntrySettings::*> entryFields({
    {"directory-address", &EntrySettings::directoryAddress, true},
    {"readiness-address", &EntrySettings::readinessAddress, true},
    {"metrics-address", &EntrySettings::metricsAddress, false},
    {"store-address", &EntrySettings::storeAddress, true},
    {"cluster-secret", &EntrySettings::clusterSecret, true},
    {"log-format", &EntrySettings::logFormat, false},
    {"memory-limit-mb", &EntrySettings::memoryLimitMb, false},
    {"policies", &EntrySettings::policies, false},
    {"features", &EntrySettings::features, false},
});

/** Times that the platform names in seconds, with fractions. */
struct SecondsSettings
{
    double shutdownGrace = toSeconds(ServingSettings().shutdownGrace);
    double retryWindow = toSeconds(ServingSettings().retryWindow);
};

const FieldTable<SecondsSettings, double SecondsSettings::*> secondsFields({
    {"shutdown-grace-s", &SecondsSettings::shutdownGrace, false},
    {"retry-window-s", &SecondsSettings::retryWindow, false},
});

void checkAddress(const char *field, const std::string &address)
{
    try {
        Endpoint::parse(address);
    } catch (const DocumentError &error) {
        throw DocumentError(std::string("/") + field + ": " + error.what());
    }
}

serving::ServingFeatures readFeatures(const EntrySettings &settings)
{
    if (settings.features == "none") {
        return {};
    }
    const std::string names
        = settings.features.empty() ? platform::featuresForPolicies(settings.policies) : settings.features;
    try {
        return serving::ServingFeatures::fromNames(names);
    } catch (const DocumentError &error) {
        throw DocumentError(std::string("/features: ") + error.what());
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
    checkSecret(settings.clusterSecret);
    checkLogFormat(settings.logFormat);
    if (settings.serving.revokeLimit.value < 1 || settings.serving.orderLease.value < 1
        || settings.serving.versionLimit.value < 1 || settings.serving.shutdownGrace.value < 1
        || settings.serving.retryWindow.value < 1) {
        throw DocumentError("/revoke-limit-ms: must be above 0, like the other times");
    }
    if (settings.serving.coldOvershoot < 0 || settings.serving.coldSlack < 0
        || settings.serving.evacuationLimit.value < 0) {
        throw DocumentError("/cold-overshoot: must not be negative, like cold-slack and evacuation-limit-ms");
    }
    if (settings.memoryLimitMb < 0 || settings.memoryLimitMb > mostMemoryMb) {
        throw DocumentError("/memory-limit-mb: must be from 0 to 1048576");
    }
    if (settings.serving.capacity <= 0) {
        throw DocumentError("/capacity: must be above 0");
    }
}

}

EntrySettings EntrySettings::fromYaml(const std::string &text, const std::string &name)
{
    const YamlSource source(text, name);
    try {
        Json fields = source.json().is_object() ? source.json() : Json::object();
        const SecondsSettings seconds = secondsFields.extract(fields, "");
        EntrySettings settings = entryFields.extract(fields, "");
        settings.serving = servingFields.read(fields, "");
        settings.serving.shutdownGrace = fromSeconds(seconds.shutdownGrace);
        settings.serving.retryWindow = fromSeconds(seconds.retryWindow);
        check(settings);
        settings.serving.features = readFeatures(settings);
        return settings;
    } catch (const DocumentError &error) {
        throw DocumentError(source.withLocation(error.what()));
    }
}

}
