#include "net/endpoint.h"

#include "core/error.h"

#include <arpa/inet.h>
#include <charconv>

namespace vanillaspar
{

Endpoint Endpoint::parse(const std::string &text)
{
    const size_t colon = text.rfind(':');
    if (colon == std::string::npos) {
        throw DocumentError("address \"" + text + "\" has no port");
    }
    Endpoint endpoint;
    endpoint.ip = text.substr(0, colon);
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, endpoint.port);
    in_addr ignored {};
    const bool isIp = inet_pton(AF_INET, endpoint.ip.c_str(), &ignored) == 1;
    if (parsed.ec != std::errc() || parsed.ptr != end || endpoint.port <= 0 || endpoint.port > 65535 || !isIp) {
        throw DocumentError("address \"" + text + "\" is not an IP number and a port");
    }
    return endpoint;
}

std::string Endpoint::text() const
{
    return ip + ":" + std::to_string(port);
}

sockaddr_in Endpoint::socketAddress() const
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

}
