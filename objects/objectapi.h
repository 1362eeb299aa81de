#pragma once

namespace vanillaspar
{

struct ObjectCall;

/** Connection of a node to the platform's object store. */
class ObjectApi
{
public:
    virtual ~ObjectApi() = default;

    /**
     * Starts a call. The reply is passed to Node::onObjectReply(); it may be late, duplicated or missing.
     *
     * @param call call with an id that wasn't used before.
     */
    virtual void submit(const ObjectCall &call) = 0;
};

}
