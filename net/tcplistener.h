#pragma once

#include "net/endpoint.h"

#include <functional>
#include <memory>

namespace vanillaspar
{

class DescriptorWatch;
class Loop;

/** Accepts TCP connections at one address. */
class TcpListener
{
public:
    /**
     * @param onAccepted takes over the connection's descriptor.
     * @throws ResourceError if the address can't be listened on.
     */
    TcpListener(Loop &loop, const Endpoint &endpoint, std::function<void(int)> onAccepted);
    ~TcpListener();
    TcpListener(const TcpListener &) = delete;
    TcpListener &operator=(const TcpListener &) = delete;

private:
    void accept();

    std::function<void(int)> m_onAccepted;
    std::unique_ptr<DescriptorWatch> m_watch;
};

}
