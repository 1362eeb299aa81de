#pragma once

#include <netinet/in.h>
#include <string>

namespace vanillaspar
{

/** An IP number and a port. */
struct Endpoint
{
    std::string ip;
    int port = 0;

    /** @throws DocumentError if @p text isn't "IP:port". */
    static Endpoint parse(const std::string &text);
    /** @return "IP:port". */
    std::string text() const;
    /** @return the address as the socket calls take it. */
    sockaddr_in socketAddress() const;
};

}
