#pragma once

#include "cluster/message.h"
#include "core/random.h"
#include "node/callerrequest.h"
#include "node/claimkeeper.h"
#include "node/configkeeper.h"
#include "node/fleetview.h"
#include "node/gateway.h"
#include "node/intentkeeper.h"
#include "node/membership.h"
#include "node/nodesettings.h"
#include "node/ports.h"
#include "node/quotakeeper.h"
#include "node/replicaowner.h"
#include "node/supervisor.h"
#include "node/worksink.h"
#include "objects/objectclient.h"

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace vanillaspar
{

/** Policies of a node that benchmarks replace by a baseline. */
struct NodePolicies
{
    std::shared_ptr<const Placement> placement = makeBoundedLoadRendezvous();
    FairQueue::Order order = FairQueue::Order::Fair;
    bool exchangesTokens = true; ///< Whether hosts grant tokens to each other.
};

/**
 * The logic of one entry host, without sockets, threads or a clock of its own.
 *
 * The node is the root of the supervisor tree. Its inputs are the on...() functions and tick(); its outputs are the
 * ports.
 */
class Node : private WorkSink
{
public:
    Node(NodeSettings settings, Ports ports, NodePolicies policies = {});
    ~Node() override;

    /** Handles a caller's request; the response is sent through the caller link. */
    void onCallerRequest(const CallerRequest &request);
    void onCallerGone(uint64_t caller);
    void onObjectReply(const ObjectReply &reply);
    /** Handles a message whose sender was authenticated as @p from. */
    void onPeerMessage(const HostId &from, const Message &message);
    /** Handles that the peer at @p address refused a connection attempt that started at @p startedAt. */
    void onPeerRefused(const std::string &address, Millis startedAt);
    void onBackendEvent(const BackendEvent &event);
    /**
     * Takes an accepted configuration from an operator's tool, so that it can spread while the platform is down.
     */
    void onOperatorConfig(const ConfigResponse &response);
    /** Runs timers and periodic work; to be called every few tens of milliseconds. */
    void tick();

    /** Starts a graceful shutdown. */
    void beginDrain();
    /** @return whether the shutdown is over and the process may end. */
    bool isDrained() const;

    /** @return addresses of hosts that callers should use for @p target, the best first. */
    std::vector<std::string> addressesFor(const std::string &target);
    /** @return whether the node serves requests. */
    bool isReady() const;
    const Membership &membership() const
    {
        return m_membership;
    }
    const std::shared_ptr<const ActiveConfig> &config() const
    {
        return m_config.current();
    }
    const ObjectClient &objects() const
    {
        return m_objects;
    }
    /** @return the replicas that this node owns now. */
    std::vector<const ReplicaOwner *> owners() const;
    /** @return a status page for operators, in JSON. */
    std::string status() const;

private:
    friend struct MessageHandler;

    void deliver(const std::string &address, const Message &message) override;
    /** Detects pauses of the process; called first for each input. */
    void beginStep();
    /** Synchronizes the owners and handles messages to this node itself; called last for each input. */
    void finishStep();
    void handle(const HostId &from, const std::string &address, const Message &message);
    void startNewIncarnation();
    void onConfigChanged();
    void onClusterChanged();
    void configureQuota();
    void syncOwners();
    void claimUnownedReplicas();
    void releaseReplica(ReplicaOwner &owner);
    void retireOwner(const ReplicaId &replica);
    void tickOwners();
    void watchHostList();
    /** @return whether neither the platform nor any peer has been heard lately, so that updates may be missing. */
    bool isIsolated() const;
    void updateConfirmed();
    void chooseLoadGranter();
    void continueDrain();
    Ping makeHeartbeat() const;
    std::string addressOf(const HostId &host) const;
    bool isAlive(const Incarnation &incarnation) const;
    ReplicaOwner *ownerOf(const ReplicaId &replica);
    void relay(const HostId &from, const std::string &address, const RelayRequest &request);

    NodeSettings m_settings;
    Ports m_ports;
    NodePolicies m_policies;
    Random m_random;
    uint64_t m_nextCall = 1;
    Supervisor m_supervisor;
    ObjectClient m_objects;
    ConfigKeeper m_config;
    Membership m_membership;
    FleetView m_fleet;
    QuotaKeeper m_quota;
    IntentKeeper m_intents;
    ClaimKeeper m_claims;
    Gateway m_gateway;
    std::map<ReplicaId, std::unique_ptr<ReplicaOwner>> m_owners;
    std::vector<std::unique_ptr<ReplicaOwner>> m_retired;
    std::map<HostId, std::string> m_learnedAddresses;
    std::deque<Message> m_localMessages;
    ObjectVersion m_hostsVersion;
    bool m_isWatchingHosts = false;
    Millis m_nextHostsWatchAt;
    Millis m_nextMaintenanceAt;
    bool m_areOwnersStale = true;
    bool m_isClaiming = false;
    std::set<ReplicaId> m_releasing;
    Millis m_lastStepAt;
    Millis m_drainStartedAt {-1};
    bool m_isConfirmed = false;
    bool m_isFinishingStep = false;
};

}
