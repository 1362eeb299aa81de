#include "net/streamsocket.h"

#include "core/error.h"
#include "net/descriptorwatch.h"

#include <algorithm>
#include <cerrno>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace vanillaspar
{

namespace
{

constexpr size_t readPiece = 32UL * 1024; // bytes a call
constexpr int readsPerWakeup = 8; // so that one busy peer doesn't hold up the others
// Milliseconds without acknowledgement until a connection counts as dead: a few retransmissions on these links.
constexpr unsigned int unacknowledgedLimit = 1500;
constexpr size_t growthStep = 1024UL * 1024; // bytes that the queue's capacity grows by at most
constexpr size_t keptCapacity = 16UL * 1024; // bytes that an empty queue keeps for the next write
constexpr size_t compactThreshold = 64UL * 1024; // bytes written that are still kept in the queue

/** @return the error that the socket has met since the last call; 0 if none. */
int takeError(int descriptor)
{
    int error = 0;
    socklen_t length = sizeof(error);
    getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &length);
    return error;
}

}

StreamSocket::StreamSocket(Loop &loop, int descriptor, Handlers handlers)
    : m_handlers(std::make_shared<const Handlers>(std::move(handlers))), m_descriptor(descriptor), m_isConnected(true)
{
    fcntl(descriptor, F_SETFL, fcntl(descriptor, F_GETFL) | O_NONBLOCK);
    setOptions();
    watch(loop);
}

StreamSocket::StreamSocket(Loop &loop, const Endpoint &endpoint, Handlers handlers)
    : m_handlers(std::make_shared<const Handlers>(std::move(handlers)))
    , m_descriptor(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0))
{
    if (m_descriptor < 0) {
        m_isEnded = true;
        return;
    }
    setOptions();
    const sockaddr_in target = endpoint.socketAddress();
    // A failure shows again as an error of the socket when the loop looks at it.
    (void)connect(m_descriptor, reinterpret_cast<const sockaddr *>(&target), sizeof(target));
    watch(loop);
    if (m_watch != nullptr) {
        m_watch->requestWritable();
    }
}

StreamSocket::~StreamSocket()
{
    *m_alive = false;
}

void StreamSocket::setOptions()
{
    const int on = 1;
    setsockopt(m_descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    setsockopt(m_descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledgedLimit, sizeof(unacknowledgedLimit));
}

void StreamSocket::watch(Loop &loop)
{
    try {
        m_watch = std::make_unique<DescriptorWatch>(loop, m_descriptor,
                                                    DescriptorWatch::Handlers {[this] {
                                                                                   onReadable();
                                                                               },
                                                                               [this] {
                                                                                   onWritable();
                                                                               },
                                                                               [this] {
                                                                                   onClosing();
                                                                               }});
    } catch (const ResourceError &) {
        m_descriptor = -1;
        m_isEnded = true;
    }
}

void StreamSocket::write(std::string_view data)
{
    if (m_isEnded) {
        return;
    }
    queue(data);
    if (m_isConnected) {
        flush();
    }
}

void StreamSocket::finishAfterWrite()
{
    if (m_watch == nullptr) {
        return;
    }
    m_isFinishing = true;
    m_watch->requestWritable();
}

void StreamSocket::queue(std::string_view data)
{
    const size_t size = m_pending.size() + data.size();
    if (size > m_pending.capacity() && size > growthStep) {
        std::string grown;
        grown.reserve(std::max(size, m_pending.capacity() + growthStep));
        grown.append(m_pending);
        m_pending.swap(grown);
    }
    m_pending.append(data);
}

void StreamSocket::flush()
{
    while (m_offset < m_pending.size()) {
        const ssize_t written
            = send(m_descriptor, m_pending.data() + m_offset, m_pending.size() - m_offset, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (written < 0) {
            if (errno == EINTR) {
                continue;
            }
            // What the peer still sent is read before the connection ends. The failed call has taken the error off the
            // socket, so that its end would look like one in order.
            m_hasFailed = m_hasFailed || (errno != EAGAIN && errno != EWOULDBLOCK);
            m_watch->requestWritable();
            break;
        }
        m_offset += static_cast<size_t>(written);
        m_bytesSent += static_cast<uint64_t>(written);
    }
    if (m_offset == m_pending.size()) {
        m_pending.clear();
        m_offset = 0;
        if (m_pending.capacity() > keptCapacity) {
            std::string().swap(m_pending);
        }
    } else if (m_offset > compactThreshold && m_offset >= m_pending.size() / 2) {
        std::string(m_pending, m_offset).swap(m_pending);
        m_offset = 0;
    }
}

void StreamSocket::onWritable()
{
    if (m_isEnded) {
        return;
    }
    if (!m_isConnected) {
        if (takeError(m_descriptor) != 0) {
            end(SocketEnd::Refused);
            return;
        }
        m_isConnected = true;
        const std::shared_ptr<bool> alive = m_alive;
        const std::shared_ptr<const Handlers> handlers = m_handlers;
        if (handlers->onConnected) {
            handlers->onConnected();
        }
        if (!*alive) {
            return;
        }
    }
    const size_t before = pendingBytes();
    flush();
    if (before > 0 && pendingBytes() == before) {
        if (takeError(m_descriptor) != 0) {
            end(SocketEnd::Reset);
            return;
        }
    }
    if (m_isFinishing && pendingBytes() == 0) {
        m_isFinishing = false;
        shutdown(m_descriptor, SHUT_WR);
    }
}

void StreamSocket::onReadable()
{
    const std::shared_ptr<bool> alive = m_alive;
    const std::shared_ptr<const Handlers> handlers = m_handlers;
    char buffer[readPiece];
    for (int i = 0; i < readsPerWakeup && !m_isEnded; ++i) {
        const ssize_t length = recv(m_descriptor, buffer, sizeof(buffer), MSG_DONTWAIT);
        if (length > 0) {
            handlers->onData(std::string_view(buffer, static_cast<size_t>(length)));
            if (!*alive) {
                return;
            }
            if (static_cast<size_t>(length) < sizeof(buffer)) {
                return;
            }
            continue;
        }
        if (length == 0) {
            end(m_hasFailed ? SocketEnd::Reset : SocketEnd::Closed);
            return;
        }
        if (errno == EINTR) {
            continue;
        }
        if (errno != EAGAIN && errno != EWOULDBLOCK) {
            end(m_isConnected ? SocketEnd::Reset : SocketEnd::Refused);
        }
        return;
    }
}

void StreamSocket::onClosing()
{
    // The descriptor's number may be given to another connection after this, so the socket must not use it again.
    const std::shared_ptr<bool> alive = m_alive;
    onReadable();
    if (*alive) {
        end(SocketEnd::Reset);
    }
}

void StreamSocket::end(SocketEnd how)
{
    if (m_isEnded) {
        return;
    }
    m_isEnded = true;
    const std::shared_ptr<const Handlers> handlers = m_handlers;
    if (handlers->onEnd) {
        handlers->onEnd(how);
    }
}

}
