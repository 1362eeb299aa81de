#pragma once

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace vanillaspar::serving
{

struct Route;
struct ServingConfig;

/** Finds the route with the host of a request and the longest matching prefix of its path. */
class RouteTable
{
public:
    /** @param config must outlive the table. */
    explicit RouteTable(const ServingConfig &config);

    /**
     * @param host host name of the request, without a port.
     * @param path path of the request, without the query.
     * @return the route, or nullptr.
     */
    const Route *find(const std::string &host, std::string_view path) const;

private:
    std::unordered_map<std::string, std::unordered_map<std::string, const Route *>> m_byHost;
};

}
