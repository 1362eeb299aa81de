#pragma once

#include <map>

namespace vanillaspar
{

/**
 * The share of recent prompt tokens by priority.
 *
 * Hosts report the prompt tokens that wait at a replica as one sum. As callers are spread over the hosts, this host's
 * own mix tells how much of that sum is ahead of a request of some priority.
 */
class UrgencyMix
{
public:
    /** Counts the prompt @p tokens of a request with the given @p priority; 0 is the most urgent. */
    void add(int priority, double tokens);
    /** @return the fraction of recent tokens whose priority is at least as urgent as @p priority. */
    double fractionUpTo(int priority) const;

private:
    std::map<int, double> m_tokens; ///< Fading sums by priority.
};

}
