#include "net/descriptorwatch.h"

#include "core/error.h"
#include "net/loop.h"

#include <sys/socket.h>
#include <unistd.h>

namespace vanillaspar
{

/** What libwebsockets holds; it outlives the watch until the descriptor is closed. */
struct DescriptorWatch::Link
{
    /** What libwebsockets keeps of a request that is due again; it leads back to the link. */
    struct Again
    {
        lws_sorted_usec_list_t entry {};
        Link *link = nullptr;
    };

    Handlers handlers;
    Loop *loop = nullptr;
    lws *wsi = nullptr;
    bool isDetached = false;
    bool isWriting = false; ///< Whether the handler for writing runs.
    Again again;
    std::shared_ptr<Link> self; ///< Keeps the link while libwebsockets may call.
};

DescriptorWatch::DescriptorWatch(Loop &loop, int descriptor, Handlers handlers)
    : m_link(std::make_shared<Link>()), m_descriptor(descriptor)
{
    if (loop.freeDescriptors() == 0) {
        close(descriptor);
        throw ResourceError("no room to watch a descriptor");
    }
    m_link->handlers = std::move(handlers);
    m_link->loop = &loop;
    lws_sock_file_fd_type adopted {};
    adopted.filefd = descriptor;
    m_link->wsi = lws_adopt_descriptor_vhost(loop.descriptorHost(), LWS_ADOPT_RAW_FILE_DESC, adopted,
                                             Loop::descriptorProtocol, nullptr);
    if (m_link->wsi == nullptr) {
        throw ResourceError("libwebsockets can't watch a descriptor");
    }
    loop.countWatched();
    m_link->self = m_link;
    lws_set_opaque_user_data(m_link->wsi, m_link.get());
}

DescriptorWatch::~DescriptorWatch()
{
    m_link->isDetached = true;
    m_link->handlers = {};
    if (m_link->wsi != nullptr) {
        // The descriptor is closed from the loop, since this may run inside one of its own callbacks; the peer hears
        // of the end at once.
        shutdown(m_descriptor, SHUT_RDWR);
        lws_set_timeout(m_link->wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
    }
}

void DescriptorWatch::requestWritable()
{
    if (m_link->wsi == nullptr) {
        return;
    }
    if (!m_link->isWriting) {
        lws_callback_on_writable(m_link->wsi);
        return;
    }
    // libwebsockets forgets a request that is made while it reports that the descriptor is writable.
    m_link->again.link = m_link.get();
    lws_sul_schedule(
        lws_get_context(m_link->wsi), 0, &m_link->again.entry,
        [](lws_sorted_usec_list_t *entry) {
            const Link &link = *lws_container_of(entry, Link::Again, entry)->link;
            if (!link.isDetached) {
                lws_callback_on_writable(link.wsi);
            }
        },
        1);
}

int DescriptorWatch::callback(lws *wsi, lws_callback_reasons reason, void * /*user*/, void * /*in*/, size_t /*length*/)
{
    if (reason == LWS_CALLBACK_RAW_ADOPT_FILE || wsi == nullptr) {
        return 0;
    }
    auto *link = static_cast<Link *>(lws_get_opaque_user_data(wsi));
    switch (reason) {
    case LWS_CALLBACK_RAW_RX_FILE:
    case LWS_CALLBACK_RAW_WRITEABLE_FILE: {
        if (link == nullptr || link->isDetached) {
            return -1;
        }
        const std::shared_ptr<Link> keep = link->self;
        const auto handler = reason == LWS_CALLBACK_RAW_RX_FILE ? keep->handlers.onReadable : keep->handlers.onWritable;
        keep->isWriting = reason == LWS_CALLBACK_RAW_WRITEABLE_FILE;
        if (handler) {
            handler();
        }
        keep->isWriting = false;
        return keep->isDetached ? -1 : 0;
    }
    case LWS_CALLBACK_RAW_CLOSE_FILE: {
        if (link == nullptr) {
            return 0;
        }
        const std::shared_ptr<Link> keep = std::move(link->self);
        lws_set_opaque_user_data(wsi, nullptr);
        lws_sul_cancel(&keep->again.entry);
        keep->wsi = nullptr;
        keep->loop->countClosed();
        if (!keep->isDetached && keep->handlers.onClosing) {
            const auto handler = keep->handlers.onClosing;
            handler();
        }
        return 0;
    }
    default:
        return 0;
    }
}

}
