#pragma once

#include "core/ids.h"
#include "core/units.h"
#include "policy/recentlongest.h"
#include "policy/stopschedule.h"

#include <map>
#include <optional>

namespace vanillaspar
{
struct Refusal;
}

namespace vanillaspar::serving
{

struct ActiveRequest;
struct Admitted;
struct ClientRequest;

/** Refuses requests that a stopping host may not be able to answer, by how long requests of their route take. */
class StopGate
{
public:
    /** Starts the stop. @param grace until the process is killed. */
    void close(Millis now, Millis grace);
    /** A request got its whole response. */
    void onServed(const ActiveRequest &active, Millis now);

    /** @return why the request is refused, or nothing. */
    std::optional<Refusal> check(const ClientRequest &request, const Admitted &admitted, Millis now) const;
    /** @return whether the process is about to end, so that every request must have its final response. */
    bool isOver(Millis now) const
    {
        return m_schedule && m_schedule->isOver(now);
    }

private:
    std::optional<StopSchedule> m_schedule;
    std::map<RouteName, RecentLongest> m_durations;
};

}
