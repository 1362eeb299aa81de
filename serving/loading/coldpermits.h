#pragma once

#include "core/ids.h"
#include "core/units.h"
#include "policy/coldbudget.h"

#include <cstdint>
#include <deque>
#include <map>

namespace vanillaspar
{
struct ColdPermit;
struct ColdPermitRequest;
}

namespace vanillaspar::serving
{

/**
 * Issues permits to start requests at cold replicas that this host owns.
 *
 * Permits are counted when they are issued, whether they are used or not. What the owner issued is kept in its memory
 * alone: a host that becomes the owner issues nothing until all permits that another one may have issued have expired.
 */
class ColdPermits
{
public:
    /**
     * Issues as many permits as are wanted and left.
     *
     * @param request for the permits.
     * @param budget of the replica's pool.
     * @param now current time.
     * @return the answer to the request.
     */
    ColdPermit issue(const ColdPermitRequest &request, const ColdBudget &budget, Millis now);
    /** @return number of permits issued. */
    int64_t issuedCount() const
    {
        return m_issuedCount;
    }

private:
    std::map<ReplicaId, std::deque<Millis>> m_issuedAt; ///< Times of the permits issued in the window.
    int64_t m_issuedCount = 0;
};

}
