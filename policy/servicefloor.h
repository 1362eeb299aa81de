#pragma once

#include "core/units.h"

#include <map>
#include <string>

namespace vanillaspar
{

/**
 * Tells which kinds of request and which teams get too small a part of a pool's capacity.
 *
 * The part of a kind's requests that is sent must not fall below a fixed fraction of the part of all requests. Counts
 * decay, so that a shortage is forgotten some seconds after its end.
 */
class ServiceFloor
{
public:
    /** A request arrived. @param kind any name, such as that of a route or a team. */
    void onArrived(const std::string &kind, Millis now);
    /** A request was sent to a replica for the first time. */
    void onSent(const std::string &kind, Millis now);
    /** Counts a request of the whole pool, in addition to its kinds. */
    void onPoolArrived(Millis now);
    void onPoolSent(Millis now);
    /** @return the number of requests of @p kind that have to be sent for it to reach the floor; negative above it. */
    double deficit(const std::string &kind, Millis now) const;

private:
    struct Counts
    {
        double arrived = 0; ///< Decayed, as of countedAt.
        double sent = 0;
        Millis countedAt;

        void decayTo(Millis now);
    };

    std::map<std::string, Counts> m_kinds;
    Counts m_pool;
};

}
