#include "node/fleetview.h"

#include "cluster/clusterstore.h"
#include "cluster/messages/ping.h"
#include "cluster/peertable.h"
#include "config/activeconfig.h"
#include "core/clock.h"
#include "node/nodesettings.h"
#include "policy/backoff.h"

#include <algorithm>

namespace vanillaspar
{

namespace
{

constexpr Millis silenceLimit(2500); // after which an owner counts as lost for requests
constexpr Millis breakerTime(2000);
constexpr int maxBreakerDoublings = 4;

}

FleetView::FleetView(const NodeSettings &settings, const Clock &clock, const ClusterStore &store,
                     const PeerTable &peers, const std::shared_ptr<const ActiveConfig> &config)
    : m_settings(settings), m_clock(clock), m_store(store), m_peers(peers), m_config(config)
{
}

OwnerRef FleetView::ownerOf(const ReplicaId &replica) const
{
    const auto ownership = m_store.state().owners.find(replica);
    if (ownership == m_store.state().owners.end()) {
        return {};
    }
    const Member *member = m_store.state().findMember(ownership->second.host);
    if (member == nullptr || member->incarnation != ownership->second.incarnation) {
        return {};
    }
    return {ownership->second.host, member->incarnation, member->peerAddress};
}

std::string FleetView::callerAddressOf(const ReplicaId &replica) const
{
    const OwnerRef owner = ownerOf(replica);
    const Member *member = m_store.state().findMember(owner.host);
    return member == nullptr || member->isLeaving ? std::string() : member->callerAddress;
}

std::vector<std::string> FleetView::callerAddresses() const
{
    std::vector<std::string> addresses;
    for (const auto &[host, member] : m_store.state().members) {
        const bool isHere = host == m_settings.host;
        if (m_store.state().isActive(host) && (isHere || !isLost({host, member.incarnation, member.peerAddress}))) {
            addresses.push_back(member.callerAddress);
        }
    }
    return addresses;
}

bool FleetView::isLost(const OwnerRef &owner) const
{
    if (owner.host == m_settings.host) {
        return false;
    }
    const Member *member = m_store.state().findMember(owner.host);
    if (member == nullptr || member->incarnation != owner.incarnation
        || m_peers.isConfirmedDead(owner.host, owner.incarnation)) {
        return true;
    }
    return m_peers.isProbedRegularly(owner.host)
        && m_clock.now() - m_peers.lastHeardAt(owner.host, owner.incarnation) > silenceLimit;
}

std::vector<Candidate> FleetView::candidates(const PoolId &pool) const
{
    std::vector<Candidate> result;
    if (m_config == nullptr) {
        return result;
    }
    for (const Replica *replica : m_config->replicasOf(pool)) {
        if (m_leaving.count(replica->id) > 0) {
            continue;
        }
        bool isNear = false;
        if (replica->isEngine) {
            const OwnerRef owner = ownerOf(replica->id);
            if (owner.address.empty() || isLost(owner)) {
                continue;
            }
            isNear = owner.host == m_settings.host;
        }
        const auto known = m_known.find(replica->id);
        if (known == m_known.end()) {
            result.push_back({replica->id, 0, replica->batchSize, isNear});
        } else if (known->second.openUntil <= m_clock.now()) {
            result.push_back({replica->id, std::max<int64_t>(0, known->second.reported + known->second.sentSince),
                              replica->batchSize, isNear});
        }
    }
    return result;
}

void FleetView::noteDispatch(const ReplicaId &replica, int change)
{
    Known &known = m_known[replica];
    known.sentSince += change;
    known.own += change;
    if (change < 0 && known.openUntil <= m_clock.now()) {
        known.failures = 0;
    }
}

void FleetView::noteFailure(const ReplicaId &replica)
{
    Known &known = m_known[replica];
    known.openUntil = m_clock.now() + backoffDelay(breakerTime, known.failures, maxBreakerDoublings);
    ++known.failures;
}

void FleetView::report(const ReplicaLoad &load)
{
    Known &known = m_known[load.replica];
    known.reported = load.outstanding;
    known.sentSince = 0;
}

void FleetView::setLeaving(const std::set<ReplicaId> &leaving)
{
    m_leaving = leaving;
}

void FleetView::addLeaving(const std::vector<ReplicaId> &leaving)
{
    m_leaving.insert(leaving.begin(), leaving.end());
}

std::set<HostId> FleetView::busyOwners() const
{
    std::set<HostId> hosts;
    for (const auto &[replica, known] : m_known) {
        if (known.own > 0) {
            hosts.insert(ownerOf(replica).host);
        }
    }
    hosts.erase(HostId());
    return hosts;
}

}
