#pragma once

#include "core/ids.h"
#include "core/refusal.h"
#include "core/units.h"
#include "policy/firsteventestimate.h"
#include "policy/overloadpolicy.h"
#include "policy/pooldemand.h"
#include "policy/servicefloor.h"
#include "policy/slotshare.h"
#include "policy/waitestimate.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace vanillaspar::serving
{

class Admission;
class BackendTable;
class RequestTable;
class WaitingQueue;
struct ActiveRequest;
struct BackendState;

/** Counts of overload control since the process started. */
struct OverloadCounts
{
    int64_t refused = 0; ///< Requests refused at once, as they couldn't be in time.
    int64_t held = 0; ///< Times that a request was held back although a replica had room.
    int64_t owed = 0; ///< Requests sent ahead of more urgent ones, as their kind or team was below its floor.
};

/**
 * Applies OverloadPolicy to this host's requests: the order of sending, refusals at once, and which requests wait for
 * more urgent ones of this or other hosts. While it is disabled nothing is reordered, held or refused.
 */
class OverloadControl
{
public:
    OverloadControl(const BackendTable &backends, const Admission &admission);

    void setEnabled(bool isEnabled)
    {
        m_isEnabled = isEnabled;
    }
    bool isEnabled() const
    {
        return m_isEnabled;
    }

    /** A request was admitted. */
    void onArrived(const ActiveRequest &active, Millis now);
    /** An attempt is being sent. */
    void onSent(const ActiveRequest &active, Millis now);
    /** A request got its whole response. */
    void onServed(const ActiveRequest &active, Millis now);

    /**
     * @param exchanges of the waiting requests.
     * @return the same exchanges in sending order; unchanged while disabled.
     */
    std::vector<uint64_t> order(std::vector<uint64_t> exchanges, const RequestTable &requests, Millis now);
    /** @return the refusal of a request that no replica has room for, if its expected wait in @p queue is too long or
     *     makes it late while others that can be in time wait for its pool. */
    std::optional<Refusal> checkWait(const ActiveRequest &active, WaitingQueue &queue, Millis now);
    /** @return whether a waiting request, as of the last order(), can't be in time any more while others of its pool
     *     can. */
    bool isHopeless(const ActiveRequest &active) const;
    /** @return the refusal of a request that has waited and is given up. */
    Refusal waitRefusal(const ActiveRequest &active, Millis now);
    /** @return whether a request is not to be sent to @p backend now, although there is room. */
    bool mustHold(const ActiveRequest &active, const BackendState &backend, Millis now);

    /** @return this host's demand, for the report to other hosts; to be called every 100 ms. */
    PoolDemands takeDemands(Millis now);
    /** Sets the demand of all other hosts, as far as it is known. */
    void setOtherDemands(PoolDemands demands);
    /** @return the pools that requests were refused or held back for in the last seconds, with the number of waiting
     *     requests of all hosts as far as known. */
    std::map<PoolId, int64_t> overloadedPools(Millis now) const;
    const OverloadCounts &counts() const
    {
        return m_counts;
    }

private:
    struct PoolState
    {
        std::vector<WaitingWork> queue; ///< In sending order, as of the last order().
        PoolDemand own; ///< Requests that wait for capacity, as of the last order(); recent sends.
        PoolDemand others;
        int64_t sends = 0; ///< Since the last takeDemands().
        int64_t earlierSends = 0; ///< In the interval before.
        WaitEstimate wait;
        FirstEventEstimate firstEvents;
        double workTime = 0; ///< Mean time of a plain request at a replica that isn't busy, in milliseconds.
        ServiceFloor floor;
        std::map<std::string, int> owed; ///< Requests in the queue that are owed, by kind.
        SlotShare share;
        bool isTight = false; ///< Whether most slots are in use, as of thresholdAt.
        int threshold = PoolDemand::noThreshold;
        Millis thresholdAt {-1};
        Millis overloadedAt {INT64_MIN / 2}; ///< When a request was last refused or held back.
    };

    /** The slots of a pool. */
    struct SlotCounts
    {
        int64_t all = 0;
        int64_t free = 0;
        int64_t open = 0; ///< Free, or for plain services in queues that are short enough for the objective.
    };

    WaitingWork workOf(const ActiveRequest &active, const PoolState &pool, Millis now) const;
    /** @return the shortest objective of the pool's routes; 0 if it has none. */
    Millis shortestObjective(const PoolId &pool) const;
    static std::vector<std::string> kindsOf(const ActiveRequest &active);
    /** Finds the requests in the queue of a pool that can't be in time any more while others can. */
    void findHopeless(const PoolState &pool, Millis now);
    /** Marks a request as owed if one of its kinds is below its floor, counting those that are marked already. */
    static void markOwed(WaitingWork &work, const ActiveRequest &active, PoolState &pool, Millis now);
    /** Updates the pool's threshold and whether its slots are scarce. */
    void updateThreshold(const PoolId &id, PoolState &pool, Millis now) const;
    SlotCounts countSlots(const PoolId &id, const PoolState &pool, Millis now) const;
    /** @return whether more may be queued at @p backend for the request to be in time; true for a free slot. */
    static bool fitsQueue(const ActiveRequest &active, const BackendState &backend, const PoolState &pool, Millis now);
    Refusal refusalOf(const ActiveRequest &active, PoolState &pool, const std::string &why, Millis now);

    const BackendTable &m_backends;
    const Admission &m_admission;
    bool m_isEnabled = false;
    std::map<PoolId, PoolState> m_pools;
    std::set<uint64_t> m_hopeless; ///< Exchanges of waiting requests that are to be refused.
    std::set<uint64_t> m_owed; ///< Exchanges of waiting requests that are owed.
    mutable std::map<PoolId, Millis> m_objectives; ///< Shortest ones, of the configuration m_objectivesOf.
    mutable std::optional<ConfigVersion> m_objectivesOf;
    OverloadCounts m_counts;
};

}
