#pragma once

#include "node/nodesettings.h"

#include <string>

namespace vanillaspar
{

/** The settings file of vanillaspard. */
struct DaemonSettings
{
    NodeSettings node;
    std::string platformAddress; ///< IP number and port of the object API.
    std::string clusterSecret; ///< Authenticates messages between nodes.
    std::string operatorHash; ///< SHA-256 of the operators' credential; empty turns their pages off.
    std::string logFormat = "text"; ///< "text" or "json".
    std::string logFile; ///< Empty logs to standard error.

    /**
     * @param text YAML.
     * @param name the file's name, for errors.
     * @throws DocumentError naming file, line and field.
     */
    static DaemonSettings fromYaml(const std::string &text, const std::string &name);
};

}
