#pragma once

#include "core/ids.h"
#include "core/units.h"
#include "policy/coldbudget.h"
#include "serving/replicas/startlimit.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace vanillaspar
{
struct ColdPermit;
struct ColdPermitRequest;
}

namespace vanillaspar::serving
{

class Admission;
class ColdReplicas;
struct ServingConfig;
struct ServingSettings;

/**
 * Limits the requests that this host starts at cold replicas, so that over all hosts each gets at most what its pool's
 * cold rate allows in any one second.
 *
 * A request is started with a permit of the replica's owner, or as the host's own share: for each replica a few hosts,
 * which all hosts choose alike, may start one request in about a second without asking. A host whose knowledge of cold
 * replicas isn't fresh treats every replica of a limited pool as cold.
 */
class ColdStarts : public StartLimit
{
public:
    /** Returns whether this host is among the first @p count hosts for a replica. */
    using IsShareHolder = std::function<bool(const ReplicaId &replica, int64_t count)>;

    /** @param startedAt when this host's process started. */
    ColdStarts(const ServingSettings &settings, const Admission &admission, const ColdReplicas &cold,
               IsShareHolder isShareHolder, Millis startedAt);

    bool isBlocked(const BackendState &state, Millis now) const override;
    void onWanted(const BackendState &state, uint64_t exchange) override;
    void onSending(const BackendState &state, Millis now) override;
    Millis nextStart(const BackendState &state, Millis now) const override;

    /** Sets whether this host knows which replicas are cold. */
    void setFresh(bool isFresh)
    {
        m_isFresh = isFresh;
    }
    /** @return the division of the limit for replicas of a pool; std::nullopt if they aren't limited. */
    std::optional<ColdBudget> budgetOf(const PoolId &pool) const;
    /** @return the requests for permits that are to be sent now. */
    std::vector<ColdPermitRequest> takeRequests(Millis now);
    /** Handles an owner's answer. */
    void onPermit(const ColdPermit &permit, Millis now);

    /** @return number of requests that this host has started at limited replicas. */
    int64_t startCount() const
    {
        return m_starts;
    }

private:
    /** What this host may start at one replica, and what it has asked for. */
    struct Permits
    {
        int64_t left = 0;
        Millis expireAt {INT64_MIN / 2};
        std::set<uint64_t> wantedBy; ///< Exchanges since the last request for permits.
        uint64_t number = 0; ///< Of that request.
        Millis askedAt {INT64_MIN / 2};
        bool isAnswered = true;
        Millis unansweredSince {0}; ///< When the first request was sent that the owner hasn't answered.
        Millis retryAt {INT64_MIN / 2}; ///< When the owner has permits again, by its last answer.
        Millis shareUsedAt {INT64_MIN / 2};
    };

    /** @return whether starts at the replica are limited now, and by what. */
    std::optional<ColdBudget> limitOf(const BackendState &state, Millis now) const;
    bool hasPermit(const ReplicaId &replica, Millis now) const;
    bool hasShare(const BackendState &state, const ColdBudget &budget, Millis now) const;

    const ServingSettings &m_settings;
    const Admission &m_admission;
    const ColdReplicas &m_cold;
    IsShareHolder m_isShareHolder;
    Millis m_startedAt;
    bool m_isFresh = false;
    uint64_t m_lastNumber = 0;
    int64_t m_starts = 0;
    std::map<ReplicaId, Permits> m_permits;
};

}
