#pragma once

#include "backend/backendevent.h"
#include "cluster/clusterstate.h"
#include "cluster/messages/work.h"
#include "config/replica.h"
#include "node/residency.h"
#include "policy/fairqueue.h"
#include "policy/popularity.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace vanillaspar
{

class ActiveConfig;
class BackendLink;
class Clock;
class EventLog;
class IntentKeeper;
class QuotaKeeper;
class WorkSink;
struct NodeSettings;

/** The services of the node that a replica's owner uses. */
struct OwnerContext
{
    const NodeSettings &settings;
    const Clock &clock;
    BackendLink &backends;
    QuotaKeeper &quota;
    IntentKeeper &intents;
    WorkSink &sink;
    EventLog &log;
    const std::shared_ptr<const ActiveConfig> &config;
    uint64_t &nextCall; ///< Next id for backend calls and quota items, unique within the node.
    FairQueue::Order order = FairQueue::Order::Fair;
};

/**
 * Sends requests, load orders and unload orders to one replica; each replica has a single owner at a time.
 *
 * Requests wait in a fair queue. Those whose adapter is resident are sent as the engine's batch has space; for the
 * others the adapter is loaded, after an idle one is unloaded if all slots are taken.
 */
class ReplicaOwner
{
public:
    /** @param ownership holds the epoch, used as fencing number, and the former owners that may still send orders. */
    ReplicaOwner(OwnerContext context, Replica replica, Ownership ownership);

    /** Replaces the replica's configuration. */
    void setReplica(const Replica &replica);
    /** Unblocks the adapters that were blocked only by former owners no longer in @p possiblyLiveOwners. */
    void setPossiblyLiveOwners(const std::vector<PossiblyLiveOwner> &possiblyLiveOwners);

    /** Queues a request; its answer is sent to the node at @p replyTo. */
    void enqueue(const WorkRequest &work, const std::string &replyTo);
    void cancel(const RequestId &request, uint32_t attempt);
    /** @return whether the event belonged to a call of this owner. */
    bool onBackendEvent(const BackendEvent &event);
    void tick();

    /** Stops accepting and sending requests; queued ones are returned as not executed, to be sent elsewhere. */
    void retire();
    bool isRetired() const
    {
        return m_isRetired;
    }
    /**
     * @return whether another owner may take over: this one is retired, the engine has begun to answer every request
     *         sent to it, and no order is in flight or may still arrive.
     */
    bool isReleasable() const;
    /** @return whether no request is queued or running. */
    bool isDone() const
    {
        return m_items.empty();
    }

    const ReplicaId &replica() const
    {
        return m_replica.id;
    }
    Epoch epoch() const
    {
        return m_ownership.epoch;
    }
    /** @return the number of queued and running requests. */
    uint32_t outstanding() const
    {
        return static_cast<uint32_t>(m_items.size());
    }
    const Residency &residency() const
    {
        return m_residency;
    }

private:
    struct Item
    {
        WorkRequest work;
        std::string replyTo;
        Millis deadlineAt;
        Millis queuedAt;
        Millis loadWait;
        uint64_t call = 0; ///< 0 while the request is queued.
        bool hasAnswered = false;
        bool needsLoad = false;
    };
    struct PendingLoad
    {
        enum class Stage
        {
            AwaitingTicket,
            AwaitingSlot,
            OrderSent,
        };
        Stage stage = Stage::AwaitingTicket;
        uint64_t ticket = 0;
        uint64_t call = 0;
        bool isTicketHeld = false;
    };
    struct Backoff
    {
        int failures = 0;
        Millis until;
    };
    struct OrderInFlight
    {
        AdapterRef adapter;
        bool isLoad = false;
        Millis sentAt;
    };

    void takeOver();
    void sendFence();
    void pollState();
    void dispatch();
    void send(uint64_t id, Item &item);
    void planLoads();
    std::vector<AdapterRef> chooseLoads() const;
    void startLoad(const AdapterRef &adapter);
    void advanceLoad(const AdapterRef &adapter);
    bool freeSlot(const AdapterRef &wanted);
    std::optional<AdapterRef> chooseEvictionCandidate(const AdapterRef &wanted);
    void recordIntentsAhead();
    void drainLeastUsed(const AdapterRef &wanted);
    void cancelDraining();
    uint64_t sendOrder(const AdapterRef &adapter, bool isLoad);
    void cancelPendingLoad(const AdapterRef &adapter);
    void failLoad(const AdapterRef &adapter, const std::string &reason);
    void expireOverdue();
    bool isBlocked(const AdapterRef &adapter) const;
    TeamId teamOf(const AdapterRef &adapter) const;

    void onState(const StateReport &report);
    void onOrderEvent(uint64_t call, const BackendEvent &event);
    void onItemEvent(uint64_t id, const BackendEvent &event);
    void markPossiblyRunning(const AdapterRef &adapter);
    void onEngineRestarted(const Incarnation &incarnation);
    void onStatePollFailed();
    void finish(uint64_t id, WorkEnd::Result result, RefusalCode code, uint64_t pieces, Tokens used);
    /** Returns queued requests as not executed, to be sent elsewhere: those for @p adapter, or all without one. */
    void returnQueued(const std::optional<AdapterRef> &adapter, RefusalCode code);

    OwnerContext m_context;
    Replica m_replica;
    Ownership m_ownership;
    Residency m_residency;
    FairQueue m_queue;
    Popularity m_popularity;
    std::map<uint64_t, Item> m_items;
    std::map<uint64_t, uint64_t> m_itemByCall;
    std::map<std::pair<RequestId, uint32_t>, uint64_t> m_itemByRequest;
    std::map<AdapterRef, PendingLoad> m_loads;
    std::map<AdapterRef, Backoff> m_backoffs;
    std::map<uint64_t, OrderInFlight> m_orders;
    std::map<AdapterRef, Millis> m_lateUnloadUntil; ///< Until then an unload without an answer may still arrive.
    std::vector<std::pair<PossiblyLiveOwner, std::set<AdapterRef>>> m_blockedByFormerOwners;
    size_t m_pendingIntentReads = 0;
    Incarnation m_engineIncarnation;
    uint64_t m_statePollCall = 0;
    uint64_t m_fenceCall = 0;
    Millis m_stateRequestedAt;
    Millis m_nextStatePollAt;
    int64_t m_running = 0;
    bool m_isFenced = false; ///< The engine has accepted this owner's fencing number.
    bool m_isReady = false; ///< A state report has arrived since the takeover or the engine's restart.
    bool m_isRetired = false;
    std::shared_ptr<bool> m_lifetime; ///< Expires with the owner; callbacks check it before they use the owner.
};

}
