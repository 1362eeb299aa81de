#pragma once

namespace vanillaspar
{

struct ObjectCall;

/** The platform's object API, as one node sees it. */
class ObjectApi
{
public:
    virtual ~ObjectApi() = default;

    /**
     * Starts a call. The reply comes to Node::onObjectReply(), late, twice or never.
     *
     * @param call a call with an id that wasn't used before.
     */
    virtual void submit(const ObjectCall &call) = 0;
};

}
