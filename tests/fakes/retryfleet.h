#pragma once

#include "core/random.h"
#include "core/units.h"
#include "policy/retrylimits.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace vanillaspar::serving
{

/**
 * Hosts that share the callers of a plain service whose replicas reject requests.
 *
 * Counts what the replicas receive: attempts beyond the first of each request, and requests that callers sent.
 */
class RetryFleet
{
public:
    /** @param limits of all hosts together. */
    RetryFleet(size_t hosts, const RetryLimits &limits, uint64_t seed);
    ~RetryFleet();

    /** Sets the share of attempts that replicas reject without executing them; the others are answered. */
    void setRejectedShare(double share)
    {
        m_rejectedShare = share;
    }
    /** Plays a span of time in which callers send a number of requests a second, spread over the running hosts. */
    void play(Millis duration, double requestsPerSecond);
    /** Kills a host and starts it again with empty state. */
    void restart(size_t host);
    /** Kills and restarts all hosts. */
    void restartAll();

    /** @return the largest number of retries beyond what the limits allow in any window; negative if all keep within.
     */
    double worstExcess() const;
    /** @return number of retries that replicas received. */
    size_t retryCount() const
    {
        return m_retries.size();
    }
    /** @return number of requests that were answered in the end. */
    int64_t servedCount() const;

private:
    struct Host;

    void answerAttempts(Host &host);
    /** @return the number of times in @p times after @p from and up to @p to. */
    static int64_t countBetween(const std::vector<Millis> &times, Millis from, Millis to);

    RetryLimits m_limits;
    Random m_random;
    Millis m_now;
    double m_rejectedShare = 1;
    double m_dueRequests = 0;
    uint64_t m_nextExchange = 1;
    int64_t m_servedBefore = 0; ///< By incarnations that ended.
    std::vector<Millis> m_requests; ///< When callers sent them.
    std::vector<Millis> m_retries; ///< When they arrived.
    std::vector<std::unique_ptr<Host>> m_hosts;
};

}
