#pragma once

#include "core/ids.h"
#include "core/refusal.h"
#include "core/units.h"
#include "policy/waitestimate.h"

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace vanillaspar::serving
{

struct ActiveRequest;

/** The requests that wait for a replica, in sending order, and how long each pool makes them wait. */
class WaitingQueue
{
public:
    using Key = std::pair<int, uint64_t>; ///< Priority and exchange; exchanges ascend by arrival.

    void insert(const ActiveRequest &active);
    /** Removes a request if it waits. */
    void erase(const ActiveRequest &active);
    /** Removes a request that was sent from its place in the queue. */
    void onSent(const ActiveRequest &active);
    /** Updates the estimates by which pools have a backlog. */
    void observe(Millis now);

    /** @return number of waiting requests of the same pool that are at least as urgent. */
    int64_t countAhead(const ActiveRequest &active) const;
    /** @return the refusal of a request that no replica has room for, if its expected wait is too long for its
     *     objective. A stream to be resumed is not refused. */
    std::optional<Refusal> checkWait(const ActiveRequest &active, Millis now);
    /** @return the exchanges of the waiting requests in sending order. */
    std::vector<uint64_t> exchanges() const;
    size_t size() const
    {
        return m_entries.size();
    }

private:
    struct Entry
    {
        PoolId pool;
        Millis receivedAt;
    };

    static Key keyOf(const ActiveRequest &active);

    std::map<Key, Entry> m_entries;
    std::map<PoolId, WaitEstimate> m_estimates;
};

}
