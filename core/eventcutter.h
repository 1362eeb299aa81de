#pragma once

#include <string>
#include <string_view>

namespace vanillaspar
{

/**
 * Cuts a stream of server-sent events behind whole events.
 *
 * What follows the last whole event is held back, so that a stream which breaks off in an event can go on with that
 * event from another server.
 */
class EventCutter
{
public:
    /** @param data the next bytes of the stream. @return the bytes up to the end of the last whole event. */
    std::string take(std::string_view data);
    /** Ends the stream. @return the bytes behind the last whole event. */
    std::string takeRest();
    /** Forgets the bytes behind the last whole event. */
    void dropRest();
    /** @return the id of the last whole event that had one; empty if none did. */
    const std::string &lastId() const
    {
        return m_lastId;
    }

private:
    void readIds(std::string_view events);

    std::string m_rest;
    std::string m_lastId;
};

}
