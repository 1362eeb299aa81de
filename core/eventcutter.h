#pragma once

#include "core/eventscanner.h"

#include <string>
#include <string_view>

namespace vanillaspar
{

/**
 * Splits a stream of server-sent events at event boundaries.
 *
 * The bytes after the last complete event are held back, so that another server can continue a stream that broke off
 * within an event by sending that event from its start.
 */
class EventCutter
{
public:
    /**
     * Appends received bytes.
     *
     * @param data the next bytes of the stream.
     * @return all bytes not returned before, up to the end of the last complete event; empty if none is complete.
     */
    std::string append(std::string_view data);
    /** Ends the stream. @return the bytes after the last complete event. */
    std::string takeIncomplete();
    /** @return number of bytes after the last complete event. */
    size_t incompleteBytes() const
    {
        return m_incomplete.size();
    }
    /** Discards the bytes after the last complete event, and their memory. */
    void discardIncomplete();
    /** @return the id of the last complete event that had one; empty if none did. */
    const std::string &lastId() const
    {
        return m_lastId;
    }
    /** @return whether the last event's id can be sent to another server, so that the stream can go on there. */
    bool isResumable() const
    {
        return m_isResumable;
    }

private:
    void updateLastId(std::string_view events);

    EventScanner m_scanner;
    std::string m_incomplete;
    std::string m_lastId;
    bool m_isResumable = true;
};

}
