#pragma once

#include <string>
#include <string_view>

namespace vanillaspar
{

/**
 * Cuts a stream of server-sent events behind complete events.
 *
 * What follows the last complete event is held back, so that a stream which breaks off in an event can go on with that
 * event from another server.
 */
class EventCutter
{
public:
    /** @param data the next bytes of the stream. @return the bytes up to the end of the last complete event. */
    std::string append(std::string_view data);
    /** Ends the stream. @return the bytes behind the last complete event. */
    std::string takeIncomplete();
    /** Forgets the bytes behind the last complete event. */
    void discardIncomplete();
    /** @return the id of the last complete event that had one; empty if none did. */
    const std::string &lastId() const
    {
        return m_lastId;
    }

private:
    void updateLastId(std::string_view events);

    std::string m_incomplete;
    std::string m_lastId;
};

}
