#include "net/tcplistener.h"

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

constexpr int backlog = 1024; // connections, above what a burst of callers opens while the loop is busy
constexpr int acceptsPerWakeup = 64;

int listenOn(const Endpoint &endpoint)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in address = endpoint.socketAddress();
    if (bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0
        || listen(descriptor, backlog) != 0) {
        const int reason = errno;
        close(descriptor);
        throw ResourceError("can't listen on " + endpoint.text() + ": " + std::strerror(reason));
    }
    return descriptor;
}

}

TcpListener::TcpListener(Loop &loop, const Endpoint &endpoint, std::function<void(int)> onAccepted)
    : m_onAccepted(std::move(onAccepted))
    , m_watch(std::make_unique<DescriptorWatch>(loop, listenOn(endpoint),
                                                DescriptorWatch::Handlers {[this] {
                                                                               accept();
                                                                           },
                                                                           {}}))
{
}

TcpListener::~TcpListener() = default;

void TcpListener::accept()
{
    for (int i = 0; i < acceptsPerWakeup; ++i) {
        const int descriptor = ::accept4(m_watch->descriptor(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (descriptor < 0) {
            return;
        }
        m_onAccepted(descriptor);
    }
}

}
