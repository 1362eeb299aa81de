#include "node/node.h"

#include "cluster/peerlink.h"
#include "config/activeconfig.h"
#include "core/clock.h"
#include "core/eventlog.h"
#include "core/hash.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace vanillaspar
{

namespace
{

const std::string hostsPath = "objects/hosts";
constexpr Millis addressLifetime(5000); // how long callers may cache an address
constexpr Millis retryDelay(300);
constexpr Millis maintenanceInterval(200);
constexpr Millis maxStepInterval(500); // a longer gap between two events is a pause
constexpr size_t maxLearnedAddresses = 1024;

}

Node::Node(NodeSettings settings, Ports ports, NodePolicies policies)
    : m_settings(std::move(settings))
    , m_ports(ports)
    , m_policies(std::move(policies))
    , m_random(m_settings.seed)
    , m_supervisor(ports.log)
    , m_objects(ports.objects, ports.clock)
    , m_config(ports.clock, m_objects, ports.peers, ports.log,
               [this] {
                   onConfigChanged();
               })
    , m_membership(m_settings, ports.clock, m_objects, ports.peers, m_random, ports.log,
                   {[this] {
                        onClusterChanged();
                    },
                    [this] {
                        startNewIncarnation();
                    },
                    [this] {
                        return makeHeartbeat();
                    }})
    , m_fleet(m_settings, ports.clock, m_membership.store(), m_membership.peers(), m_config.current())
    , m_quota(m_settings, ports.clock, ports.peers, m_random, m_policies.exchangesTokens)
    , m_intents(m_settings, ports.clock, m_objects)
    , m_claims(
          m_settings, ports.clock, m_objects,
          [this](const Incarnation &incarnation) {
              return isAlive(incarnation);
          },
          ports.log)
    , m_gateway({m_settings, ports.clock, ports.callers, ports.backends, m_quota, m_claims, m_fleet, *this, ports.log,
                 ports.metrics, m_random, m_config.current(), m_nextCall, *m_policies.placement})
    , m_lastStepAt(ports.clock.now())
{
    m_ports.log.record(EventCode::NodeStarted, m_settings.host.text(), m_settings.peerAddress);
    m_config.start();
    startNewIncarnation();
}

Node::~Node() = default;

void Node::startNewIncarnation()
{
    for (auto &[replica, owner] : m_owners) {
        owner->retire();
        m_retired.push_back(std::move(owner));
    }
    m_owners.clear();
    m_releasing.clear();
    m_isClaiming = false;
    m_quota.reset();
    const Incarnation incarnation(m_settings.host.text() + "-" + std::to_string(m_ports.clock.wallNow().value) + "-"
                                  + std::to_string(m_random.next() % 1'000'000));
    m_intents.setIncarnation(incarnation);
    m_claims.setIncarnation(incarnation);
    m_gateway.setIncarnation(incarnation);
    m_membership.join(incarnation);
}

void Node::beginStep()
{
    const Millis now = m_ports.clock.now();
    const Millis sinceLastStep = now - m_lastStepAt;
    m_lastStepAt = now;
    if (sinceLastStep > maxStepInterval) {
        updateConfirmed(); // it may have become stale during the pause
    }
    if (sinceLastStep > m_settings.shortLease) {
        // Other hosts may have taken over in the meantime, so nothing owned before the pause may be used again.
        m_ports.log.record(EventCode::PauseDetected, m_settings.host.text(),
                           std::to_string(sinceLastStep.value) + " ms");
        startNewIncarnation();
    }
}

void Node::finishStep()
{
    if (m_isFinishingStep) {
        return;
    }
    m_isFinishingStep = true;
    if (m_areOwnersStale) {
        syncOwners();
    }
    while (!m_localMessages.empty()) {
        const Message message = std::move(m_localMessages.front());
        m_localMessages.pop_front();
        handle(m_settings.host, m_settings.peerAddress, message);
    }
    m_isFinishingStep = false;
}

void Node::deliver(const std::string &address, const Message &message)
{
    if (address.empty()) {
        return;
    }
    if (address == m_settings.peerAddress) {
        m_localMessages.push_back(message); // handled at the end of the current step, not recursively
    } else {
        m_ports.peers.send(address, message);
    }
}

void Node::onCallerRequest(const CallerRequest &request)
{
    beginStep();
    m_gateway.onRequest(request);
    finishStep();
}

void Node::onCallerGone(uint64_t caller)
{
    beginStep();
    m_gateway.onCallerGone(caller);
    finishStep();
}

void Node::onObjectReply(const ObjectReply &reply)
{
    beginStep();
    m_supervisor.run(
        "platform",
        [&] {
            m_objects.onReply(reply);
        },
        [] {});
    finishStep();
}

void Node::onOperatorConfig(const ConfigResponse &response)
{
    beginStep();
    m_config.onResponse({}, response);
    finishStep();
}

void Node::onBackendEvent(const BackendEvent &event)
{
    beginStep();
    bool isHandled = m_gateway.onBackendEvent(event);
    for (auto owner = m_owners.begin(); !isHandled && owner != m_owners.end(); ++owner) {
        isHandled = owner->first == event.replica && owner->second->onBackendEvent(event);
    }
    for (size_t i = 0; !isHandled && i < m_retired.size(); ++i) {
        isHandled = m_retired[i]->onBackendEvent(event);
    }
    finishStep();
}

void Node::onPeerRefused(const std::string &address, Millis startedAt)
{
    beginStep();
    m_membership.peers().onConnectionRefused(address, startedAt, m_membership.state());
    finishStep();
}

std::string Node::addressOf(const HostId &host) const
{
    const Member *member = m_membership.state().findMember(host);
    if (member != nullptr) {
        return member->peerAddress;
    }
    const auto learned = m_learnedAddresses.find(host);
    return learned == m_learnedAddresses.end() ? std::string() : learned->second;
}

void Node::onPeerMessage(const HostId &from, const Message &message)
{
    beginStep();
    if (const auto *ping = std::get_if<Ping>(&message)) {
        if (m_learnedAddresses.size() < maxLearnedAddresses || m_learnedAddresses.count(from) > 0) {
            m_learnedAddresses[from] = ping->peerAddress;
        }
    }
    m_supervisor.run(
        "messages",
        [&] {
            handle(from, addressOf(from), message);
        },
        [] {});
    finishStep();
}

/** Dispatches each type of message to the component that handles it. */
struct MessageHandler
{
    Node &node;
    const HostId &from;
    const std::string &address;

    void operator()(const Ping &ping) const
    {
        const Pong pong {ping.sequence, node.m_membership.incarnation(), node.m_config.version(),
                         node.m_config.confirmedAge()};
        node.m_ports.peers.send(ping.peerAddress, pong);
        for (const ReplicaLoad &load : ping.loads) {
            node.m_fleet.report(load);
        }
        node.m_fleet.addLeaving(ping.leaving);
        const bool isNewer = ping.clusterVersion > node.m_membership.state().version;
        if (isNewer && !node.m_objects.isReachable()) {
            node.m_ports.peers.send(ping.peerAddress, ClusterStateRequest {node.m_membership.state().version});
        }
        if (ping.configVersion > node.m_config.version()) {
            node.m_config.onPeerVersion(ping.peerAddress, ping.configVersion, Millis(0), Millis(0));
        }
    }
    void operator()(const Pong &pong) const
    {
        const Millis requestedAt = node.m_membership.peers().onPong(from, pong);
        if (requestedAt.value >= 0) {
            node.m_config.onPeerVersion(address, pong.configVersion, pong.confirmedAge, requestedAt);
        }
    }
    void operator()(const WorkRequest &work) const
    {
        ReplicaOwner *owner = node.ownerOf(work.replica);
        if (owner == nullptr || !node.m_membership.isMember()) {
            node.deliver(address,
                         WorkEnd {work.request, work.attempt, WorkEnd::Result::NotExecuted, 0, Tokens(0), Millis(0),
                                  RefusalCode::NoReplica});
            return;
        }
        owner->enqueue(work, address);
    }
    void operator()(const WorkCancel &cancel) const
    {
        for (auto &[replica, owner] : node.m_owners) {
            owner->cancel(cancel.request, cancel.attempt);
        }
        for (auto &owner : node.m_retired) {
            owner->cancel(cancel.request, cancel.attempt);
        }
    }
    void operator()(const WorkPiece &piece) const
    {
        node.m_gateway.onPiece(piece);
    }
    void operator()(const WorkEnd &end) const
    {
        node.m_gateway.onEnd(end);
    }
    void operator()(const TokenRequest &request) const
    {
        node.m_quota.onRequest(address, request);
    }
    void operator()(const TokenGrant &grant) const
    {
        node.m_quota.onGrant(address, grant);
    }
    void operator()(const TokenRefund &refund) const
    {
        node.m_quota.onRefund(refund);
    }
    void operator()(const ConfigRequest &request) const
    {
        node.m_config.onRequest(address, request);
    }
    void operator()(const ConfigResponse &response) const
    {
        node.m_config.onResponse(address, response);
    }
    void operator()(const ClusterStateRequest &request) const
    {
        const ClusterState &state = node.m_membership.state();
        if (state.version > request.known) {
            node.deliver(address, ClusterStateResponse {state.version, state.toText()});
        }
    }
    void operator()(const ClusterStateResponse &response) const
    {
        node.m_membership.store().mergeFromPeer(response.version, response.value);
    }
    void operator()(const RelayRequest &request) const
    {
        node.relay(from, address, request);
    }
    void operator()(const RelayResponse &response) const
    {
        node.m_membership.relayedObjects().onReply(response.reply);
    }
    template<class EntryHostMessage>
    void operator()(const EntryHostMessage & /*message*/) const
    {
        node.m_ports.log.record(EventCode::MessageRejected, from.text(), "message type not handled by entry hosts");
    }
};

void Node::handle(const HostId &from, const std::string &address, const Message &message)
{
    std::visit(MessageHandler {*this, from, address}, message);
}

void Node::relay(const HostId &from, const std::string &address, const RelayRequest &request)
{
    // Peers may relay only the renewal of their own lease.
    if (request.call.path != Lease::pathOf(from)) {
        return;
    }
    const auto onReply = [this, address, id = request.call.id](const ObjectReply &reply) {
        ObjectReply relayed = reply;
        relayed.id = id;
        if (reply.status != ObjectReply::Status::Unreachable) {
            deliver(address, RelayResponse {relayed});
        }
    };
    if (request.call.kind == ObjectCall::Kind::Put) {
        m_objects.put(request.call.path, request.call.version, request.call.value, onReply);
    } else {
        m_objects.get(request.call.path, onReply);
    }
}

Ping Node::makeHeartbeat() const
{
    Ping ping;
    ping.incarnation = m_membership.incarnation();
    ping.peerAddress = m_settings.peerAddress;
    ping.configVersion = m_config.version();
    ping.clusterVersion = m_membership.state().version;
    for (const auto &[replica, owner] : m_owners) {
        ping.loads.push_back({replica, owner->outstanding()});
    }
    ping.leaving.assign(m_fleet.leaving().begin(), m_fleet.leaving().end());
    return ping;
}

bool Node::isAlive(const Incarnation &incarnation) const
{
    return std::any_of(m_membership.state().members.begin(), m_membership.state().members.end(),
                       [&](const auto &member) {
                           return member.second.incarnation == incarnation;
                       });
}

void Node::onConfigChanged()
{
    m_areOwnersStale = true;
    configureQuota();
    for (auto &[id, owner] : m_owners) {
        const Replica *replica = m_config.current()->findReplica(id);
        if (replica != nullptr) {
            owner->setReplica(*replica);
        }
    }
}

void Node::onClusterChanged()
{
    m_areOwnersStale = true;
    configureQuota();
}

void Node::configureQuota()
{
    if (m_config.current() != nullptr) {
        m_quota.configure(*m_config.current(), m_membership.state(), m_membership.usableShares());
    }
}

ReplicaOwner *Node::ownerOf(const ReplicaId &replica)
{
    const auto owner = m_owners.find(replica);
    return owner == m_owners.end() ? nullptr : owner->second.get();
}

void Node::retireOwner(const ReplicaId &replica)
{
    const auto owner = m_owners.find(replica);
    owner->second->retire();
    m_intents.forget(replica);
    m_retired.push_back(std::move(owner->second));
    m_owners.erase(owner);
    m_releasing.erase(replica);
}

void Node::syncOwners()
{
    m_areOwnersStale = false;
    const ClusterState &state = m_membership.state();
    std::vector<ReplicaId> lost;
    for (const auto &[replica, owner] : m_owners) {
        const auto ownership = state.owners.find(replica);
        if (ownership == state.owners.end() || ownership->second.epoch != owner->epoch()
            || ownership->second.host != m_settings.host || !m_membership.isMember()) {
            lost.push_back(replica);
        }
    }
    for (const ReplicaId &replica : lost) {
        retireOwner(replica);
    }
    if (m_config.current() == nullptr || !m_membership.isMember()) {
        return;
    }
    for (const auto &[id, ownership] : state.owners) {
        const bool isMine = ownership.host == m_settings.host && ownership.incarnation == m_membership.incarnation();
        const Replica *replica = m_config.current()->findReplica(id);
        if (!isMine || replica == nullptr || !replica->isEngine) {
            continue;
        }
        if (m_owners.count(id) == 0) {
            const OwnerContext context {m_settings, m_ports.clock, m_ports.backends,   m_quota,    m_intents,
                                        *this,      m_ports.log,   m_config.current(), m_nextCall, m_policies.order};
            m_owners[id] = std::make_unique<ReplicaOwner>(context, *replica, ownership);
        }
        std::vector<PossiblyLiveOwner> possiblyLiveOwners;
        std::copy_if(ownership.possiblyLiveOwners.begin(), ownership.possiblyLiveOwners.end(),
                     std::back_inserter(possiblyLiveOwners), [&](const PossiblyLiveOwner &old) {
                         const Member *member = state.findMember(old.host);
                         const bool hasReturned = member != nullptr && member->incarnation != old.incarnation;
                         return !hasReturned && !m_membership.peers().isConfirmedDead(old.host, old.incarnation);
                     });
        m_owners[id]->setPossiblyLiveOwners(possiblyLiveOwners);
    }
}

void Node::claimUnownedReplicas()
{
    const ClusterState &state = m_membership.state();
    if (m_isClaiming || m_config.current() == nullptr || !m_membership.isMember() || m_membership.isLeaving()) {
        return;
    }
    std::vector<ReplicaId> wanted;
    for (const Replica &replica : m_config.current()->document().replicas) {
        const auto ownership = state.owners.find(replica.id);
        const Member *owner = ownership == state.owners.end() ? nullptr : state.findMember(ownership->second.host);
        const bool wasOwnedHere = owner != nullptr && ownership->second.host == m_settings.host
            && ownership->second.incarnation != owner->incarnation;
        const bool isUnowned = owner == nullptr || wasOwnedHere;
        if (replica.isEngine && isUnowned
            && (wasOwnedHere || desiredOwner(state, replica.id, replica.domain) == m_settings.host)) {
            wanted.push_back(replica.id);
        }
    }
    if (wanted.empty()) {
        return;
    }
    m_isClaiming = true;
    m_membership.store().update(
        [wanted, host = m_settings.host, incarnation = m_membership.incarnation()](ClusterState &state) {
            const Member *self = state.findMember(host);
            bool hasChanged = false;
            for (const ReplicaId &replica : wanted) {
                const Ownership &ownership = state.owners[replica];
                const Member *owner = state.findMember(ownership.host);
                const bool isUnowned
                    = owner == nullptr || (ownership.host == host && ownership.incarnation != incarnation);
                if (self != nullptr && self->incarnation == incarnation && isUnowned) {
                    state.assign(replica, host);
                    hasChanged = true;
                }
            }
            return hasChanged;
        },
        [this] {
            m_isClaiming = false;
        });
}

void Node::releaseReplica(ReplicaOwner &owner)
{
    const ReplicaId replica = owner.replica();
    const Replica *configured = m_config.current()->findReplica(replica);
    const DomainId domain = configured == nullptr ? DomainId() : configured->domain;
    const HostId next = desiredOwner(m_membership.state(), replica, domain);
    const bool isStaying = next == m_settings.host || (next.isEmpty() && !m_membership.isLeaving());
    if (isStaying) {
        return;
    }
    owner.retire();
    if (!owner.isReleasable() || !m_releasing.insert(replica).second) {
        return;
    }
    m_membership.store().update(
        [replica, next, epoch = owner.epoch()](ClusterState &state) {
            const auto ownership = state.owners.find(replica);
            if (ownership == state.owners.end() || ownership->second.epoch != epoch) {
                return false;
            }
            if (state.findMember(next) == nullptr) {
                ownership->second.host = HostId(); // unowned until a host claims it
            } else {
                state.assign(replica, next);
            }
            return true;
        },
        [this, replica] {
            m_releasing.erase(replica);
        });
}

void Node::tickOwners()
{
    for (auto &[replica, owner] : m_owners) {
        m_supervisor.run(
            "replica " + replica.text(),
            [&owner = owner] {
                owner->tick();
            },
            [&owner = owner] {
                owner->retire();
            });
        if (m_config.current() != nullptr) {
            releaseReplica(*owner);
        }
        m_fleet.report({replica, owner->outstanding()});
    }
    for (auto &owner : m_retired) {
        owner->tick();
    }
    std::erase_if(m_retired, [](const std::unique_ptr<ReplicaOwner> &owner) {
        return owner->isDone();
    });
}

void Node::watchHostList()
{
    if (m_isWatchingHosts || m_ports.clock.now() < m_nextHostsWatchAt) {
        return;
    }
    m_isWatchingHosts = true;
    m_objects.watch(hostsPath, m_hostsVersion, [this](const ObjectReply &reply) {
        m_isWatchingHosts = false;
        if (reply.status == ObjectReply::Status::Unreachable || reply.status == ObjectReply::Status::Missing) {
            m_nextHostsWatchAt = m_ports.clock.now() + retryDelay;
            return;
        }
        if (reply.status != ObjectReply::Status::Ok || reply.version <= m_hostsVersion) {
            return;
        }
        m_hostsVersion = reply.version;
        std::set<ReplicaId> leaving;
        const nlohmann::json json = nlohmann::json::parse(reply.value, nullptr, false);
        for (const auto &replica : json.value("leaving", nlohmann::json::array())) {
            leaving.insert(ReplicaId(replica.get<std::string>()));
            m_ports.log.record(EventCode::ReplicaLeaving, replica.get<std::string>(), "host list");
        }
        m_fleet.setLeaving(leaving);
    });
}

bool Node::isIsolated() const
{
    if (m_objects.answeredAt() + m_settings.isolationLimit > m_ports.clock.now()) {
        return false;
    }
    const auto &members = m_membership.state().members;
    const bool hasOthers = std::any_of(members.begin(), members.end(), [&](const auto &entry) {
        return entry.first != m_settings.host
            && !m_membership.peers().isConfirmedDead(entry.first, entry.second.incarnation);
    });
    return hasOthers && m_membership.peers().peersHeardWithin(m_settings.isolationLimit).empty();
}

void Node::updateConfirmed()
{
    const bool isFresh = m_config.confirmedAge() <= m_settings.confirmLimit;
    // During an outage of the platform: if every other host was heard and none of them knows a newer configuration, no
    // host can have applied one.
    const bool isOutage = !isFresh && m_config.current() != nullptr && !m_config.isNewerVersionKnown()
        && m_membership.peers().isConfirmedByAllPeers(m_membership.state(), m_config.version(),
                                                      m_settings.confirmLimit);
    const bool isConfirmed = (isFresh || isOutage) && !isIsolated();
    if (m_isConfirmed && !isConfirmed) {
        m_ports.log.record(EventCode::ConfigUnconfirmed, std::to_string(m_config.version().value),
                           isIsolated() ? "neither the platform nor any peer answers"
                                        : "neither the platform nor all peers answer");
    }
    m_isConfirmed = isConfirmed;
    m_gateway.setConfirmed(isConfirmed);
}

void Node::chooseLoadGranter()
{
    // The active host with the highest rendezvous hash that isn't lost. Two nodes may disagree for a moment; the weight
    // store can then get more loads than its limit, and refuses the excess.
    const ClusterState &state = m_membership.state();
    uint64_t bestRank = 0;
    std::string best;
    for (const auto &[host, member] : state.members) {
        const uint64_t rank = stableHash(host.text() + "/weight-store");
        if (rank >= bestRank && state.isActive(host)
            && !m_fleet.isLost({host, member.incarnation, member.peerAddress})) {
            bestRank = rank;
            best = member.peerAddress;
        }
    }
    m_quota.setLoadGranter(best == m_settings.peerAddress ? std::string() : best);
}

void Node::tick()
{
    beginStep();
    m_objects.tick();
    m_config.tick();
    m_membership.tick();
    watchHostList();
    updateConfirmed();
    if (m_ports.clock.now() >= m_nextMaintenanceAt) {
        // Work that visits every member or replica is too costly for every tick.
        m_nextMaintenanceAt = m_ports.clock.now() + maintenanceInterval;
        m_membership.peers().setExtraTargets(m_fleet.busyOwners());
        m_membership.maintain(m_config.current().get());
        chooseLoadGranter();
        claimUnownedReplicas();
    }
    finishStep();
    tickOwners();
    m_intents.tick();
    m_claims.tick();
    m_quota.tick();
    m_gateway.tick();
    continueDrain();
    finishStep();
}

void Node::beginDrain()
{
    if (m_drainStartedAt.value >= 0) {
        return;
    }
    m_drainStartedAt = m_ports.clock.now();
    m_ports.log.record(EventCode::NodeDraining, m_settings.host.text(),
                       std::to_string(m_gateway.openCount()) + " requests open");
    m_membership.beginLeaving();
}

void Node::continueDrain()
{
    // Callers cache addresses, so requests are accepted until every cached address has expired.
    if (m_drainStartedAt.value < 0 || m_ports.clock.now() - m_drainStartedAt < addressLifetime) {
        return;
    }
    m_gateway.stopAccepting();
    const bool isIdle
        = m_gateway.openCount() == 0 && m_owners.empty() && m_retired.empty() && m_claims.pendingCount() == 0;
    if (isIdle && !m_membership.hasLeft() && m_membership.isMember()) {
        m_membership.leave();
    }
}

bool Node::isDrained() const
{
    const bool isOver = m_drainStartedAt.value >= 0 && m_ports.clock.now() - m_drainStartedAt >= addressLifetime;
    const bool isAnswered = m_gateway.openCount() == 0 && m_retired.empty();
    const bool isStuck = m_ports.clock.now() - m_drainStartedAt > m_settings.longestDeadline;
    const bool isUnused = std::all_of(m_owners.begin(), m_owners.end(), [](const auto &owner) {
        return owner.second->isDone();
    });
    return isOver && isAnswered && isUnused && (m_membership.hasLeft() || isStuck || !m_objects.isReachable());
}

std::vector<std::string> Node::addressesFor(const std::string &target)
{
    beginStep();
    return m_gateway.addressesFor(target);
}

bool Node::isReady() const
{
    return m_config.current() != nullptr && m_isConfirmed && m_drainStartedAt.value < 0;
}

std::vector<const ReplicaOwner *> Node::owners() const
{
    std::vector<const ReplicaOwner *> owners;
    for (const auto &[replica, owner] : m_owners) {
        owners.push_back(owner.get());
    }
    return owners;
}

std::string Node::status() const
{
    nlohmann::json json {{"host", m_settings.host.text()},
                         {"incarnation", m_membership.incarnation().text()},
                         {"member", m_membership.isMember()},
                         {"ready", isReady()},
                         {"config_version", m_config.version().value},
                         {"config_confirmed_age_ms", m_config.confirmedAge().value},
                         {"platform_reachable", m_objects.isReachable()},
                         {"platform_calls", m_objects.callCount()},
                         {"shares", m_membership.usableShares()},
                         {"open_requests", m_gateway.openCount()},
                         {"owned", nlohmann::json::array()},
                         {"members", nlohmann::json::array()}};
    for (const auto &[replica, owner] : m_owners) {
        json["owned"].push_back({{"replica", replica.text()},
                                 {"epoch", owner->epoch().value},
                                 {"outstanding", owner->outstanding()},
                                 {"adapters", owner->residency().slotsTaken()}});
    }
    for (const auto &[host, member] : m_membership.state().members) {
        json["members"].push_back({{"host", host.text()},
                                   {"incarnation", member.incarnation.text()},
                                   {"leaving", member.isLeaving},
                                   {"fenced", member.isFenced},
                                   {"shares", member.shares}});
    }
    return json.dump(2);
}

}
