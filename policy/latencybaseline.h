#pragma once

#include "core/units.h"

#include <cstdint>

namespace vanillaspar
{

/**
 * How long requests of one kind take at an average replica.
 *
 * It follows slowly, over about fifty requests: a replica's recent times are compared with it, and a pool's common
 * change is taken out by comparing replicas with each other.
 */
class LatencyBaseline
{
public:
    /** Records a request's time, without what its replica or a queue added to it. @param millis in milliseconds. */
    void observe(double millis);
    /** @return the expected time in milliseconds; 0 if there is no observation. */
    double expected() const;
    /** @return how well it is known, from 0 to 1. */
    double confidence() const;

private:
    double m_logMean = 0;
    int64_t m_count = 0;
};

}
