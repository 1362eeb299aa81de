#pragma once

#include "core/ids.h"
#include "core/units.h"
#include "serving/backend.h"
#include "serving/replicaload.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>
#include <vector>

namespace vanillaspar::serving
{

/** A backend server and what this host has seen of it. */
struct BackendState
{
    Backend info;
    uint32_t shortId = 0; ///< Hash of the id, as hosts name it to each other.
    ReplicaLoad own; ///< Requests of this host.
    ReplicaLoad peers; ///< Requests of the other hosts, by their last reports.
    double failureRate = 0; ///< Decayed part of this host's requests that it failed, 0 to 1.
    Millis avoidUntil {0}; ///< Not to be chosen until then while another one can be.
    int consecutiveFailures = 0;
    bool isRemoved = false; ///< Its entry was removed.
    bool isReportedLeaving = false; ///< Another host says that it leaves; its entry here doesn't say so yet.
    Millis leavingSince {-1}; ///< When it was first known to leave; negative if it doesn't.
    Millis removedAt;

    int64_t running() const
    {
        return own.running + peers.running;
    }
    /** @return requests that run, in parts of a full batch. */
    double slotLoad() const
    {
        return static_cast<double>(running()) / static_cast<double>(std::max<int64_t>(info.slots, 1));
    }
    /** @return whether new work may be sent. */
    bool isUsable() const
    {
        return !info.isLeaving && !isRemoved && !isReportedLeaving;
    }
};

/** The backend servers that service discovery tells of, and how loaded they are. */
class BackendTable
{
public:
    /** Adds a server or follows its change. @return whether it is a new life of a known server. */
    bool upsert(Backend backend, Millis now);
    /** The server's entry was removed: it gets no new work. */
    void remove(const ReplicaId &id, Millis now);
    /**
     * Another host says that a server leaves.
     *
     * @return the server if that is news, or nullptr.
     */
    const BackendState *onLeavingReported(uint32_t shortId, Millis now);
    /**
     * @param provenAt when the entries here were known to be the store's last. Without a newer copy of its entry, a
     * server of which another host has told that it leaves stays out.
     * @return short ids of servers that began to leave in the last seconds.
     */
    std::vector<uint32_t> recentlyLeaving(Millis now, Millis provenAt);
    /** Forgets servers that were removed and have nothing left to answer. @return which. */
    std::vector<ReplicaId> purgeRemoved(Millis now);

    /** @return the server, or nullptr; also one that was removed but still answers. */
    BackendState *find(const ReplicaId &id) const;
    /** @return servers of a pool that may get work. */
    std::vector<BackendState *> usable(const PoolId &pool) const;

    /** Replaces what a host has reported to use. */
    void setPeerUse(const HostId &host, const std::vector<ReplicaUse> &uses);
    /** @return this host's use with that of the hosts that it speaks for. */
    std::vector<ReplicaUse> ownUseIncluding(const std::set<HostId> &hosts) const;
    /** @return the use of all hosts but one. */
    std::vector<ReplicaUse> totalUseExcluding(const HostId &host) const;

    /** A request was sent. @param tokens it takes of the engine's memory. @param pendingPrefill of its prompt. */
    void onSent(const ReplicaId &id, int64_t tokens, int64_t pendingPrefill);
    /** A request began to answer, or ended before. */
    void onPromptProcessed(const ReplicaId &id, int64_t pendingPrefill);
    void onEnded(const ReplicaId &id, int64_t tokens);
    void onSuccess(const ReplicaId &id);
    /** @param isUnreachable whether it could not be connected to, rather than failing a request. */
    void onFailure(const ReplicaId &id, bool isUnreachable, Millis now);

private:
    using Loads = std::unordered_map<uint32_t, ReplicaLoad>; ///< By short id.

    /** Notes that a server is known to leave, from now if it wasn't before. */
    static void recordLeaving(BackendState &state, Millis now);
    void addPeerUse(const std::vector<ReplicaUse> &uses, int64_t sign);
    /** Adds what a host has reported to use. @param sign 1 or -1. */
    void addReported(Loads &loads, const HostId &host, int64_t sign) const;
    /** @return @p loads added to what each server has by @p base. */
    template<class BaseOf>
    std::vector<ReplicaUse> report(const Loads &loads, BaseOf base) const;

    std::map<ReplicaId, std::unique_ptr<BackendState>> m_backends;
    std::unordered_map<uint32_t, BackendState *> m_byShortId;
    std::map<HostId, std::vector<ReplicaUse>> m_peerUses;
    Loads m_peerLoads; ///< Sums of m_peerUses, also for servers that aren't known yet.
};

}
