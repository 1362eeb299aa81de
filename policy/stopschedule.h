#pragma once

#include "core/units.h"

namespace vanillaspar
{

/** Which requests a stopping host still takes, so that none has to be cut when the process ends. */
class StopSchedule
{
public:
    /** @param grace from the start of the stop until the process is killed. */
    StopSchedule(Millis startedAt, Millis grace);

    /**
     * @param limit the longest time that the request may take.
     * @param usual the longest time that requests of its kind took lately.
     * @return whether the request is taken.
     */
    bool takes(Millis limit, Millis usual, Millis now) const;
    /** @return whether every request must have its final response now. */
    bool isOver(Millis now) const
    {
        return now >= m_end;
    }

private:
    Millis m_start;
    Millis m_end;
};

}
