#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace vanillaspar
{
class Clock;
}

namespace vanillaspar::serving
{

class BackendTable;
class OrderPort;

/** An attempt whose connection ended before its answer had progressed. */
struct BrokenAttempt
{
    ReplicaId replica;
    int64_t incarnation = 0; ///< Of the replica.
    Millis at;
    Millis begunAt; ///< When its answer began.
    bool isEngine = false;
    bool isWhole = false; ///< Whether the answer may be complete: the end of its connection is its only end mark.
    std::vector<PromptPartId> parts; ///< The request itself comes last.
};

/**
 * Finds out whether replicas have ended under attempts that broke, or have only lost a connection.
 *
 * A replica lives if it sends another answer later. A silent engine is asked for a report.
 */
class ReplicaEnds
{
public:
    ReplicaEnds(const Clock &clock, BackendTable &backends);

    /** Sets what asks engines for reports, for the life of this object; without it a silent replica has ended. */
    void setReports(OrderPort *reports)
    {
        m_reports = reports;
    }
    void add(BrokenAttempt attempt);
    /** @return whether it isn't known yet if a replica has ended under a request with the part. */
    bool isPending(const PromptPartId &part) const;

    /** Attempts about whose replicas it is known now. */
    struct Decided
    {
        std::vector<BrokenAttempt> ended;
        std::vector<BrokenAttempt> alive;
    };
    /** Asks silent engines. @return what has been decided since the last call, in order of time. */
    Decided update();

private:
    /** What was last asked of an engine. */
    struct Query
    {
        Millis askedAt;
        bool isAnswered = false;
        std::optional<int64_t> incarnation; ///< Of the engine that answered, if one did.
    };
    enum class State
    {
        Unknown,
        Alive,
        Ended,
    };

    State stateOf(const BrokenAttempt &attempt) const;
    void ask(const ReplicaId &replica);

    const Clock &m_clock;
    BackendTable &m_backends;
    OrderPort *m_reports = nullptr;
    std::vector<BrokenAttempt> m_attempts; ///< Undecided, in order of time.
    std::map<ReplicaId, Query> m_queries;
    std::shared_ptr<bool> m_life = std::make_shared<bool>(true); ///< Answers after its end are dropped.
};

}
