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

/** Policies of a node that measurements exchange for a baseline. */
struct NodePolicies
{
    std::shared_ptr<const Placement> placement = makeBoundedLoadRendezvous();
    FairQueue::Order order = FairQueue::Order::Fair;
    bool exchangesTokens = true; ///< Whether hosts hand tokens to each other.
};

/**
 * Everything that one entry host does, without sockets, threads or a clock of its own.
 *
 * The node is the root of the supervisor tree. Whatever happens outside comes in through the on...() functions and
 * tick(); whatever it does goes out through its ports.
 */
class Node : private WorkSink
{
public:
    Node(NodeSettings settings, Ports ports, NodePolicies policies = {});
    ~Node() override;

    /** Handles a caller's request; its answer goes to the caller link. */
    void onCallerRequest(const CallerRequest &request);
    void onCallerGone(uint64_t caller);
    void onObjectReply(const ObjectReply &reply);
    /** Takes a message that was authenticated as coming from @p from. */
    void onPeerMessage(const HostId &from, const Message &message);
    /** The peer at @p address refused a connection that was begun at @p startedAt. */
    void onPeerRefused(const std::string &address, Millis startedAt);
    void onBackendEvent(const BackendEvent &event);
    /** Takes a configuration that an operator's tool has seen accepted, which needs no platform to spread. */
    void onOperatorConfig(const ConfigResponse &response);
    /** Does what is due; to be called every few tens of milliseconds. */
    void tick();

    /** Starts a graceful shutdown. */
    void beginDrain();
    /** @return whether the shutdown is over and the process may end. */
    bool isDrained() const;

    /** @return hosts that callers should use for @p target, the best first. */
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
    void beginStep();
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
    /** @return whether no news, such as a leaving backend server, can have reached this host lately. */
    bool isIsolated() const;
    void updateConfirmed();
    void chooseLoadCoordinator();
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
