#pragma once

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace vanillaspar::serving
{

struct Route;
struct ServingConfig;

/** Finds the route of a request: that of its host with the longest prefix of its path. */
class RouteTable
{
public:
    /** @param config must outlive the table. */
    explicit RouteTable(const ServingConfig &config);

    /**
     * @param host the host name that the caller asked for, without a port.
     * @param path the path without its query.
     * @return the route, or nullptr.
     */
    const Route *find(const std::string &host, std::string_view path) const;

private:
    std::unordered_map<std::string, std::unordered_map<std::string, const Route *>> m_byHost;
};

}
