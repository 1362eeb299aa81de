#pragma once

#include <functional>
#include <libwebsockets.h>
#include <memory>

namespace vanillaspar
{

class Loop;

/**
 * Tells when a file descriptor can be read or written; the descriptor belongs to the watch and is closed with it.
 *
 * libwebsockets' own raw sockets hide whether a connection ended or was reset, which decides whether an answer is
 * complete. So sockets are adopted as plain descriptors and read here by their owner.
 */
class DescriptorWatch
{
public:
    struct Handlers
    {
        std::function<void()> onReadable;
        std::function<void()> onWritable;
        std::function<void()> onClosing; ///< The descriptor has failed and is closed after this call.
    };

    /** @throws ResourceError if libwebsockets can't take the descriptor; it is closed then. */
    DescriptorWatch(Loop &loop, int descriptor, Handlers handlers);
    /** Closes the descriptor. */
    ~DescriptorWatch();
    DescriptorWatch(const DescriptorWatch &) = delete;
    DescriptorWatch &operator=(const DescriptorWatch &) = delete;

    /** Calls onWritable() once when the descriptor takes bytes. */
    void requestWritable();
    int descriptor() const
    {
        return m_descriptor;
    }

    /** libwebsockets' callback, for the loop's virtual host. */
    static int callback(lws *wsi, lws_callback_reasons reason, void *user, void *in, size_t length);

private:
    struct Link;

    std::shared_ptr<Link> m_link;
    int m_descriptor;
};

}
