#pragma once

#include <cstdint>

namespace vanillaspar
{

/** Seeded pseudo-random numbers (splitmix64), the same sequence on every machine. Not cryptographic. */
class Random
{
public:
    /** @param seed start of the sequence; equal seeds give equal sequences. */
    explicit Random(uint64_t seed) : m_state(seed)
    {
    }

    /** @return the next 64 random bits. */
    uint64_t next()
    {
        m_state += 0x9e3779b97f4a7c15ULL;
        uint64_t bits = m_state;
        bits = (bits ^ (bits >> 30)) * 0xbf58476d1ce4e5b9ULL;
        bits = (bits ^ (bits >> 27)) * 0x94d049bb133111ebULL;
        return bits ^ (bits >> 31);
    }

    /**
     * @param bound exclusive upper bound.
     * @return a random integer in [0, bound); 0 if @p bound is 0.
     */
    uint64_t below(uint64_t bound)
    {
        return bound == 0 ? 0 : next() % bound;
    }

    /** @return a random number in [0, 1). */
    double unit()
    {
        return static_cast<double>(next() >> 11) * 0x1.0p-53;
    }

private:
    uint64_t m_state;
};

}
