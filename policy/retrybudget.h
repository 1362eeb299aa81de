#pragma once

#include "core/units.h"

#include <cstdint>
#include <deque>

namespace vanillaspar
{

/**
 * This host's part of the repeats that a pool may get in any window.
 *
 * The bound for all hosts is a ratio of the requests in the window and a fixed allowance, which is split evenly.
 */
class RetryBudget
{
public:
    /**
     * @param ratio repeats for each request in a window.
     * @param allowance repeats beyond these, for this host.
     */
    void configure(double ratio, double allowance, Millis window);
    /** Counts the first sending of a request. */
    void onRequest(Millis now);
    /** Counts a repeat if the window has room for it. @return whether it may be sent. */
    bool takeRepeat(Millis now);

private:
    struct Slice
    {
        Millis start;
        int64_t requests = 0;
        int64_t repeats = 0;
    };

    Slice &current(Millis now);

    double m_ratio = 0;
    double m_allowance = 0;
    Millis m_window {10000};
    std::deque<Slice> m_slices; ///< A tenth of the window each.
};

}
