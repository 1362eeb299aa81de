#pragma once

#include "core/eventcode.h"

#include <string>

namespace vanillaspar
{

/** Destination of log events. */
class EventLog
{
public:
    virtual ~EventLog() = default;

    /**
     * Records one event.
     *
     * @param code number of the event.
     * @param subject what the event is about, such as the id of a host or a replica.
     * @param detail free text for operators. It must not contain a caller's key.
     */
    virtual void record(EventCode code, const std::string &subject, const std::string &detail) = 0;
};

}
