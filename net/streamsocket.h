#pragma once

#include "core/units.h"
#include "net/endpoint.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace vanillaspar
{

class DescriptorWatch;
class Loop;

/** How a TCP connection came to its end. */
enum class SocketEnd
{
    Closed, ///< The peer closed it in order.
    Reset, ///< It was reset, or the peer stopped acknowledging.
    Refused, ///< It was never established.
};

/**
 * A TCP connection on the loop, with a queue of bytes to write.
 *
 * The handlers may destroy the socket.
 */
class StreamSocket
{
public:
    struct Handlers
    {
        std::function<void()> onConnected;
        std::function<void(std::string_view)> onData;
        std::function<void(SocketEnd)> onEnd; ///< Called once, last.
    };

    /** Takes over an accepted connection; it is closed if there is no room to watch it. */
    StreamSocket(Loop &loop, int descriptor, Handlers handlers);
    /** Opens a connection; a failure comes through onEnd from the loop, except for a lack of descriptors. */
    StreamSocket(Loop &loop, const Endpoint &endpoint, Handlers handlers);
    ~StreamSocket();
    StreamSocket(const StreamSocket &) = delete;
    StreamSocket &operator=(const StreamSocket &) = delete;

    /** Queues bytes and writes what the connection takes at once. */
    void write(std::string_view data);
    /** Closes our direction once everything queued is written; onEnd comes when the peer closes its own. */
    void finishAfterWrite();

    /** @return whether it got a descriptor; without one nothing is ever sent and no handler is called. */
    bool hasDescriptor() const
    {
        return m_watch != nullptr;
    }
    bool isConnected() const
    {
        return m_isConnected;
    }
    /** @return bytes that wait to be written. */
    size_t pendingBytes() const
    {
        return m_pending.size() - m_offset;
    }
    /** @return bytes of memory that the bytes that wait take. */
    size_t pendingMemory() const
    {
        return m_pending.capacity();
    }
    /** @return bytes handed to the operating system so far; they may have reached the peer. */
    uint64_t bytesSent() const
    {
        return m_bytesSent;
    }

private:
    void setOptions();
    void watch(Loop &loop);
    void onReadable();
    void onWritable();
    void onClosing();
    /** Adds to the queue; its capacity grows in steps and not to the double. */
    void queue(std::string_view data);
    void flush();
    void end(SocketEnd how);

    std::shared_ptr<const Handlers> m_handlers; ///< Shared, so that a handler may destroy the socket.
    int m_descriptor = -1;
    std::unique_ptr<DescriptorWatch> m_watch;
    std::string m_pending;
    size_t m_offset = 0;
    uint64_t m_bytesSent = 0;
    bool m_isConnected = false;
    bool m_isEnded = false;
    bool m_hasFailed = false; ///< Whether a write met an error, so that the end of the connection isn't in order.
    bool m_isFinishing = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); ///< Cleared by the destructor.
};

}
