#pragma once

#include "core/ids.h"
#include "core/units.h"
#include "policy/latencybaseline.h"
#include "policy/latencyevidence.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace vanillaspar
{
struct ReplicaLatencyReport;
}

namespace vanillaspar::serving
{

struct ActiveRequest;
struct BackendState;

/**
 * How long each replica takes compared with the others of its pool, as observed by all hosts.
 *
 * A request's time is compared with that of earlier requests of its route and team, so that a team's long requests
 * don't make a replica look slow. Open requests that exceed their expected time count before they end. Each host's
 * observations are counted once: its own, and those that other hosts report (LatencyExchange).
 */
class ReplicaLatencies
{
public:
    using Evidence = std::unordered_map<uint32_t, LatencyEvidence>; ///< By short id of the replica.

    /** Turns learning and the use of what was learned on or off. */
    void setEnabled(bool isEnabled)
    {
        m_isEnabled = isEnabled;
    }
    bool isEnabled() const
    {
        return m_isEnabled;
    }

    /** @return milliseconds that the request takes at an average replica that is idle; 0 if unknown. */
    double expected(const ActiveRequest &active) const;
    /** @return mean time in milliseconds of this host's requests to the pool; 0 if unknown. */
    double meanLatency(const PoolId &pool) const;
    /** Compares the replicas of a pool again if that is due. @param replicas of the pool that may get requests. */
    void update(const PoolId &pool, const std::vector<BackendState *> &replicas, Millis now);
    /** @return how much longer than the pool's median a replica takes, as of the last update. */
    double factor(const BackendState &state) const;
    /** @return observed by expected time of the pool's median replica, as of the last update. */
    double level(const PoolId &pool) const;
    /** @return the factors of the replicas with recent observations, by short id. */
    const std::unordered_map<uint32_t, double> &factors() const
    {
        return m_factors;
    }
    /** Deletes what is known of replicas without recent observations; to be called regularly. */
    void purge(Millis now);
    /** @return requests that a replica probably has in addition to those reported, as it rejected some. */
    double unreportedRequests(const BackendState &state, Millis now) const;

    /** Records what is expected of a request that is about to be sent to @p backend. */
    void onSending(ActiveRequest &active, const BackendState &backend) const;
    /** A request still waits for its response. */
    void onWaiting(ActiveRequest &active, Millis now);
    /** A request to a plain service got the start of its response. */
    void onAnswered(const ActiveRequest &active, Millis now);
    /** A stream of an engine is complete: its events tell the engine's speed. */
    void onCompleted(const ActiveRequest &active, Millis now);
    /** A replica rejected a request without executing it. */
    void onRejected(const ActiveRequest &active, Millis now);
    /** Adds an observation. @param ratio observed by expected time. @param weight 1 if the latter is well known. */
    void observe(const ReplicaId &replica, double ratio, double weight, Millis now);

    /** Replaces what a host reported. */
    void setPeerReport(const HostId &host, const std::vector<ReplicaLatencyReport> &replicas, Millis now);
    /** Keeps only the reports of the given hosts. */
    void keepReports(const std::set<HostId> &hosts);
    /** @return observations of this host and the given ones. */
    std::vector<ReplicaLatencyReport> reportIncluding(const std::set<HostId> &hosts, Millis now) const;
    /** @return observations of all hosts but the given one. */
    std::vector<ReplicaLatencyReport> reportExcluding(const HostId &host, Millis now) const;

private:
    /** The number of rejections of a replica, which fades. */
    struct Rejections
    {
        double count = 0;
        Millis countedAt {0};
    };

    static std::string kindOf(const ActiveRequest &active);
    static std::vector<ReplicaLatencyReport> makeReport(const Evidence &evidence, Millis now);
    LatencyEvidence evidenceOf(uint32_t shortId, Millis now) const;
    double rejections(uint32_t shortId, Millis now) const;

    bool m_isEnabled = false;
    Evidence m_own;
    std::map<HostId, Evidence> m_peers; ///< By the host that reported them, which may do so for others.
    std::map<std::string, LatencyBaseline> m_baselines; ///< By route and team; of engines' events by pool.
    std::map<PoolId, double> m_meanLatencies;
    std::unordered_map<uint32_t, Rejections> m_rejections;
    std::unordered_map<uint32_t, double> m_factors;
    std::map<PoolId, std::pair<double, Millis>> m_levels; ///< With the time of the last update.
};

}
