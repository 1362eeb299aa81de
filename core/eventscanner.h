#pragma once

#include <cstdint>
#include <string_view>

namespace vanillaspar
{

/** Finds where the events of a stream of server-sent events end, whichever line endings it uses. */
class EventScanner
{
public:
    /**
     * Reads the next bytes of the stream.
     *
     * @return how many of them belong to events that are complete now; the rest begins the next event.
     */
    size_t scan(std::string_view data);

    /** @return number of complete events. */
    int64_t count() const
    {
        return m_count;
    }
    /** @return whether the stream would be cut inside an event if it ended now. */
    bool isInsideEvent() const
    {
        return m_isInsideEvent;
    }

private:
    void endLine();

    int64_t m_count = 0;
    bool m_isLineEmpty = true;
    bool m_isInsideEvent = false;
    bool m_wasCarriageReturn = false; ///< A line feed that follows belongs to the same line end.
};

}
