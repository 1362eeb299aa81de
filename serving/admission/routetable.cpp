#include "serving/admission/routetable.h"

#include "serving/interfaces/servingconfig.h"

namespace vanillaspar::serving
{

RouteTable::RouteTable(const ServingConfig &config)
{
    for (const Route &route : config.routes) {
        m_byHost[route.host][route.pathPrefix] = &route;
    }
}

const Route *RouteTable::find(const std::string &host, std::string_view path) const
{
    const auto routes = m_byHost.find(host);
    if (routes == m_byHost.end()) {
        return nullptr;
    }
    // Every prefix ends with a slash, so only the parts of the path up to a slash are looked up, the longest first.
    for (size_t end = path.rfind('/'); end != std::string_view::npos; end = path.rfind('/', end - 1)) {
        const auto route = routes->second.find(std::string(path.substr(0, end + 1)));
        if (route != routes->second.end()) {
            return route->second;
        }
        if (end == 0) {
            break;
        }
    }
    return nullptr;
}

}
