#pragma once

#include <cstdint>

namespace vanillaspar
{

struct BackendCall;

/** Connection of a node to the backend servers. */
class BackendLink
{
public:
    virtual ~BackendLink() = default;

    /** Starts a call. Its events are passed to Node::onBackendEvent(). */
    virtual void submit(const BackendCall &call) = 0;
    /** Cancels the call with id @p call, whose answer isn't needed any more. No further events follow for it. */
    virtual void cancel(uint64_t call) = 0;
};

}
