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

constexpr Millis lostAfterSilence(2500); // silence after which requests treat an owner as lost
constexpr Millis breakerDelay(2000);
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
        const bool isThisHost = host == m_settings.host;
        if (m_store.state().isActive(host) && (isThisHost || !isLost({host, member.incarnation, member.peerAddress}))) {
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
        && m_clock.now() - m_peers.lastHeardAt(owner.host, owner.incarnation) > lostAfterSilence;
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
        bool isLocal = false;
        if (replica->isEngine) {
            const OwnerRef owner = ownerOf(replica->id);
            if (owner.address.empty() || isLost(owner)) {
                continue;
            }
            isLocal = owner.host == m_settings.host;
        }
        const auto info = m_replicas.find(replica->id);
        if (info == m_replicas.end()) {
            result.push_back({replica->id, 0, replica->batchSize, isLocal});
        } else if (info->second.breakerOpenUntil <= m_clock.now()) {
            result.push_back({replica->id,
                              std::max<int64_t>(0, info->second.reportedOutstanding + info->second.sentSinceReport),
                              replica->batchSize, isLocal});
        }
    }
    return result;
}

void FleetView::noteDispatch(const ReplicaId &replica, int change)
{
    ReplicaInfo &info = m_replicas[replica];
    info.sentSinceReport += change;
    info.ownOutstanding += change;
    if (change < 0 && info.breakerOpenUntil <= m_clock.now()) {
        info.failures = 0;
    }
}

void FleetView::noteFailure(const ReplicaId &replica)
{
    ReplicaInfo &info = m_replicas[replica];
    info.breakerOpenUntil = m_clock.now() + backoffDelay(breakerDelay, info.failures, maxBreakerDoublings);
    ++info.failures;
}

void FleetView::report(const ReplicaLoad &load)
{
    ReplicaInfo &info = m_replicas[load.replica];
    info.reportedOutstanding = load.outstanding;
    info.sentSinceReport = 0;
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
    for (const auto &[replica, info] : m_replicas) {
        if (info.ownOutstanding > 0) {
            hosts.insert(ownerOf(replica).host);
        }
    }
    hosts.erase(HostId());
    return hosts;
}

}
