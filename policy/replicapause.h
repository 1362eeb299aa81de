#pragma once

#include "core/units.h"

namespace vanillaspar
{

/** The time for which a replica has asked this host to send it nothing. */
class ReplicaPause
{
public:
    /** Starts or lengthens the pause; it is never shortened. @param duration from now; nothing below 0 counts. */
    void extend(Millis duration, Millis now);
    /** @return whether the replica wants nothing now. */
    bool isActive(Millis now) const
    {
        return now < m_end;
    }
    /** @return the time at which the last pause ends. */
    Millis end() const
    {
        return m_end;
    }

private:
    Millis m_end {0};
};

/** What becomes of a request while all replicas that could execute it are paused. */
struct PausedPlacement
{
    bool waits = false;
    Millis retryAfter; ///< If it is refused: when there will be room again.
};

/**
 * Decides whether a request waits for the end of a pause.
 *
 * @param pauseEnd when the first pause ends.
 * @param waitDeadline until when the request may wait.
 * @param spread fraction from 0 to 1 that differs between requests, so that refused callers return one after another.
 */
PausedPlacement placeDuringPause(Millis pauseEnd, Millis waitDeadline, double spread, Millis now);

}
