#pragma once

#include "net/endpoint.h"

#include <functional>
#include <memory>
#include <string_view>

namespace vanillaspar
{

class DescriptorWatch;
class Loop;

/** Sends and receives UDP datagrams at one address. */
class DatagramSocket
{
public:
    /**
     * @param onDatagram takes each datagram.
     * @throws ResourceError if the address can't be bound.
     */
    DatagramSocket(Loop &loop, const Endpoint &endpoint, std::function<void(std::string_view)> onDatagram);
    ~DatagramSocket();
    DatagramSocket(const DatagramSocket &) = delete;
    DatagramSocket &operator=(const DatagramSocket &) = delete;

    /** Sends a datagram, which may be lost. */
    void send(const Endpoint &to, std::string_view data);

private:
    void receive();

    std::function<void(std::string_view)> m_onDatagram;
    std::unique_ptr<DescriptorWatch> m_watch;
};

}
