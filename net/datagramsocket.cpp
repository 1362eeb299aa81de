#include "net/datagramsocket.h"

#include "core/error.h"
#include "net/descriptorwatch.h"

#include <cerrno>
#include <cstring>
#include <sys/socket.h>
#include <unistd.h>

namespace vanillaspar
{

namespace
{

constexpr size_t largestDatagram = 65536; // bytes
constexpr int datagramsPerWakeup = 64;

int bindTo(const Endpoint &endpoint)
{
    const int descriptor = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const sockaddr_in address = endpoint.socketAddress();
    if (bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        const int reason = errno;
        close(descriptor);
        throw ResourceError("can't receive datagrams on " + endpoint.text() + ": " + std::strerror(reason));
    }
    return descriptor;
}

}

DatagramSocket::DatagramSocket(Loop &loop, const Endpoint &endpoint, std::function<void(std::string_view)> onDatagram)
    : m_onDatagram(std::move(onDatagram))
    , m_watch(std::make_unique<DescriptorWatch>(loop, bindTo(endpoint),
                                                DescriptorWatch::Handlers {[this] {
                                                                               receive();
                                                                           },
                                                                           {}}))
{
}

DatagramSocket::~DatagramSocket() = default;

void DatagramSocket::send(const Endpoint &to, std::string_view data)
{
    const sockaddr_in target = to.socketAddress();
    sendto(m_watch->descriptor(), data.data(), data.size(), MSG_DONTWAIT, reinterpret_cast<const sockaddr *>(&target),
           sizeof(target));
}

void DatagramSocket::receive()
{
    static thread_local char buffer[largestDatagram];
    for (int i = 0; i < datagramsPerWakeup; ++i) {
        const ssize_t length = recv(m_watch->descriptor(), buffer, sizeof(buffer), MSG_DONTWAIT);
        if (length < 0) {
            return;
        }
        m_onDatagram(std::string_view(buffer, static_cast<size_t>(length)));
    }
}

}
