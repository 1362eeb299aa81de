#pragma once

#include "serving/interfaces/servingsettings.h"

#include <string>

namespace vanillaspar
{

/** Settings of an entry host on the platform. */
struct EntrySettings
{
    serving::ServingSettings serving;
    std::string directoryAddress; ///< Where callers ask for addresses.
    std::string readinessAddress; ///< Where the platform asks whether the host is ready.
    std::string metricsAddress; ///< Empty serves no metrics.
    std::string storeAddress;
    std::string clusterSecret; ///< Shared by all hosts; authenticates their messages.
    std::string logFormat = "json";
    double memoryLimitMb = 0; ///< Megabytes of the host's memory; 0 if unknown.
    std::string policies; ///< Names of the platform's policies in force, separated by commas.
    std::string
        features; ///< Features of the serving core to switch on, "none", or empty for those that the policies need.

    /**
     * Reads settings in YAML.
     *
     * @param name names the file in errors.
     * @throws DocumentError with file, line and field.
     */
    static EntrySettings fromYaml(const std::string &text, const std::string &name);
};

}
