#pragma once

#include "cluster/message.h"

#include <string>

namespace vanillaspar
{

/** Delivers messages to nodes, this one included. */
class WorkSink
{
public:
    virtual ~WorkSink() = default;

    /**
     * Delivers @p message to the node at @p address.
     *
     * A message to this node is handled before the call returns.
     */
    virtual void deliver(const std::string &address, const Message &message) = 0;
};

}
