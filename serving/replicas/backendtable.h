#pragma once

#include "core/ids.h"
#include "core/units.h"
#include "policy/replicapace.h"
#include "policy/replicapause.h"
#include "serving/interfaces/backend.h"
#include "serving/interfaces/replicaload.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace vanillaspar::serving
{

class StartLimit;

/** A backend server with the load and the failures that this host knows of. */
struct BackendState
{
    Backend info;
    uint32_t shortId = 0; ///< Hash of the id, which identifies the server in messages between hosts.
    ReplicaLoad own; ///< Requests of this host.
    std::map<int, int64_t> ownPrefill; ///< own.pendingPrefill by priority.
    ReplicaLoad peers; ///< Requests of the other hosts, from their last reports.
    ReplicaPace pace; ///< Time to the first event against the other replicas, for engines.
    double failureRate = 0; ///< Moving average of the fraction of this host's requests that failed, 0 to 1.
    Millis avoidUntil {0}; ///< Until then it is chosen only if there is no alternative.
    int consecutiveFailures = 0;
    bool isRemoved = false; ///< Whether its entry was removed from service discovery.
    bool isReportedLeaving = false; ///< Whether another host reported it as leaving; the entry known here may be older.
    Millis reportedAt; ///< When another host last reported that.
    bool hasSaidLeaving = false; ///< Whether this incarnation said in an answer to this host that it is leaving.
    Millis aliveAt {-1}; ///< When it last sent this host a part of an answer.
    ReplicaPause pause; ///< That this incarnation asked this host for.
    Millis leavingSince {-1}; ///< When it became known to be leaving; negative if it isn't.
    Millis removedAt; ///< When its entry was removed.

    /** @return number of requests of all hosts. */
    int64_t running() const
    {
        return own.running + peers.running;
    }
    /** @return requests of all hosts divided by the slots. */
    double slotLoad() const
    {
        return static_cast<double>(running()) / static_cast<double>(std::max<int64_t>(info.slots, 1));
    }
    /** @return whether new requests may be sent to it. */
    bool isUsable() const
    {
        return !info.isLeaving && !isRemoved && !isReportedLeaving && !hasSaidLeaving;
    }
};

/** The backend servers in service discovery and their load. */
class BackendTable
{
public:
    /** Adds or updates a server. @return whether it is a new incarnation of a known server. */
    bool upsert(Backend backend, Millis now);
    /** Marks a server as removed from service discovery: it gets no new requests. */
    void remove(const ReplicaId &id, Millis now);
    /**
     * Marks a server as leaving that another host reported.
     *
     * @param shortId hash of its id.
     * @return the server; nullptr if it is unknown or already out of use.
     */
    const BackendState *onLeavingReported(uint32_t shortId, Millis now);
    /** Marks a server as leaving that said so in an answer, until its next incarnation. */
    static void onSaidLeaving(BackendState &state, Millis now);
    /**
     * Expires reports of leaving servers that the entries here no longer confirm.
     *
     * @param freshAsOf when the entries here were last known to equal the store's. A server that was reported as
     * leaving stays unused until the entries are newer than the report.
     * @return short ids of the servers that became known to be leaving in the last seconds, and of those that said so
     * themselves, to report to other hosts.
     */
    std::vector<uint32_t> recentlyLeaving(Millis now, Millis freshAsOf);
    /** Deletes removed servers without open requests after a retention time. @return their ids. */
    std::vector<ReplicaId> purgeRemoved(Millis now);

    /** @return the server, also if it is removed but not yet purged, or nullptr. */
    BackendState *find(const ReplicaId &id) const;
    /** @return the server with the given hash of its id, as find() does. */
    BackendState *findByShortId(uint32_t shortId) const;
    /** @return the servers of a pool that may get new requests. */
    std::vector<BackendState *> usable(const PoolId &pool) const;
    /** @return the same, with those of evacuated failure domains. */
    std::vector<BackendState *> inService(const PoolId &pool) const;
    /** Sets the failure domains whose servers get nothing new; std::nullopt while that isn't known of any domain. */
    void setEvacuated(std::optional<std::set<DomainId>> domains)
    {
        m_evacuated = std::move(domains);
    }
    /** @return whether servers of a failure domain get nothing new. */
    bool isEvacuated(const DomainId &domain) const
    {
        return !m_evacuated || m_evacuated->count(domain) > 0;
    }
    /** Sets what limits the requests that this host starts at a server; it must outlive the table's users. */
    void setStartLimit(StartLimit *limit)
    {
        m_startLimit = limit;
    }
    /** @return what limits the requests that this host starts at a server; nullptr if nothing does. */
    StartLimit *startLimit() const
    {
        return m_startLimit;
    }
    const std::map<ReplicaId, std::unique_ptr<BackendState>> &all() const
    {
        return m_backends;
    }

    /** Replaces the use that a host last reported. */
    void setPeerUse(const HostId &host, const std::vector<ReplicaUse> &uses);
    /** Sets how old the reports of the other hosts are on average. */
    void setReportAge(Millis age)
    {
        m_reportAge = age;
    }
    Millis reportAge() const
    {
        return m_reportAge;
    }
    /** @return this host's use plus that of the given hosts, for a hub that aggregates the reports of its leaf hosts.
     */
    std::vector<ReplicaUse> ownUseIncluding(const std::set<HostId> &hosts) const;
    /** @return the use of all hosts, this one included, without that of @p host. */
    std::vector<ReplicaUse> totalUseExcluding(const HostId &host) const;

    /**
     * A request was sent.
     *
     * @param id server that the request was sent to.
     * @param tokens that it occupies in the engine's KV cache.
     * @param pendingPrefill prompt tokens to process before the response starts.
     * @param priority of the request; 0 is the most urgent.
     */
    void onSent(const ReplicaId &id, int64_t tokens, int64_t pendingPrefill, int priority);
    /**
     * The prompt of a request was processed, or the request ended before.
     *
     * @param pendingPrefill as given to onSent().
     * @param priority as given to onSent().
     */
    void onPromptProcessed(const ReplicaId &id, int64_t pendingPrefill, int priority);
    /** A request ended. @param tokens as given to onSent(). */
    void onEnded(const ReplicaId &id, int64_t tokens);
    /** A server sent a part of a response. */
    void onAlive(const ReplicaId &id, Millis now);
    /** A request got a complete response. */
    void onSuccess(const ReplicaId &id);
    /**
     * A request failed.
     *
     * @param id server that the request was sent to.
     * @param isUnreachable whether the server could not be connected to. It is then avoided at once, otherwise from the
     * second failure in a row.
     * @param now current time.
     */
    void onFailure(const ReplicaId &id, bool isUnreachable, Millis now);

private:
    using Loads = std::unordered_map<uint32_t, ReplicaLoad>; ///< By short id.

    /** Records that a server is leaving, since @p now unless it was known before. */
    static void recordLeaving(BackendState &state, Millis now);
    /** Adds or subtracts reported use to the load from peers. @param sign 1 or -1. */
    void addPeerUse(const std::vector<ReplicaUse> &uses, int64_t sign);
    /** Adds or subtracts the use that a host reported. @param sign 1 or -1. */
    void addReported(Loads &loads, const HostId &host, int64_t sign) const;
    /** @return for each server with requests the sum of base(server) and its entry in @p loads. */
    template<class BaseOf>
    std::vector<ReplicaUse> report(const Loads &loads, BaseOf base) const;

    std::map<ReplicaId, std::unique_ptr<BackendState>> m_backends;
    std::unordered_map<uint32_t, BackendState *> m_byShortId;
    std::map<HostId, std::vector<ReplicaUse>> m_peerUses;
    Millis m_reportAge {0};
    std::optional<std::set<DomainId>> m_evacuated {std::in_place};
    StartLimit *m_startLimit = nullptr;
    Loads m_peerLoads; ///< Sums of m_peerUses, also of servers that aren't known yet.
};

}
