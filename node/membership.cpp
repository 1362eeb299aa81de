#include "node/membership.h"

#include "config/activeconfig.h"
#include "core/clock.h"
#include "core/eventlog.h"
#include "node/nodesettings.h"

#include <algorithm>

namespace vanillaspar
{

Membership::Membership(const NodeSettings &settings, const Clock &clock, ObjectClient &objects, PeerLink &link,
                       Random &random, EventLog &log, Handlers handlers)
    : m_settings(settings)
    , m_clock(clock)
    , m_log(log)
    , m_handlers(std::move(handlers))
    , m_store(objects, clock, m_handlers.onClusterChanged)
    , m_peers(settings, clock, link, random, m_handlers.makeHeartbeat)
    , m_relayApi(link, random,
                 [this] {
                     std::vector<std::string> addresses;
                     for (const HostId &host : m_peers.peersHeardWithin(m_settings.shortLease)) {
                         const Member *member = state().findMember(host);
                         if (member != nullptr) {
                             addresses.push_back(member->peerAddress);
                         }
                     }
                     return addresses;
                 })
    , m_relayedObjects(m_relayApi, clock)
    , m_lease(settings, clock, objects, m_relayedObjects,
              [this] {
                  onLeaseLost();
              })
    , m_watcher(settings, clock, objects, m_store, m_peers, log)
{
    m_store.start();
}

void Membership::join(const Incarnation &incarnation)
{
    m_incarnation = incarnation;
    m_isAddingEntry = false;
    m_isTransferringShares = false;
    m_sharesInTransfer = 0;
    m_store.dropPendingChanges();
    m_watcher.reset();
    m_lease.acquire(incarnation);
}

bool Membership::isMember() const
{
    const Member *member = state().findMember(m_settings.host);
    return member != nullptr && member->incarnation == m_incarnation && m_lease.isHeld()
        && m_clock.now() < m_lease.longLeaseEnd();
}

int64_t Membership::usableShares() const
{
    const Member *member = state().findMember(m_settings.host);
    return isMember() ? std::max<int64_t>(0, member->shares - m_sharesInTransfer) : 0;
}

void Membership::onLeaseLost()
{
    m_log.record(EventCode::LeaseLost, m_settings.host.text(), m_incarnation.text());
    m_handlers.onAuthorityLost();
}

void Membership::tick()
{
    m_relayedObjects.tick();
    m_lease.tick();
    m_store.tick();
    m_peers.tick(state());
    if (m_lease.isHeld() && m_clock.now() >= m_lease.longLeaseEnd()) {
        onLeaseLost();
    }
}

void Membership::maintain(const ActiveConfig *config)
{
    if (m_hasLeft || !m_lease.isHeld()) {
        return;
    }
    const Member *member = state().findMember(m_settings.host);
    const bool hasEntry = member != nullptr && member->incarnation == m_incarnation;
    if (!hasEntry && !m_isAddingEntry && !m_isLeaving) {
        addOwnEntry();
    }
    if (hasEntry) {
        m_watcher.tick(config);
        rebalanceShares();
    }
}

void Membership::addOwnEntry()
{
    // A process with the same host name at another address may still be running. Its entry stays until it is removed
    // like that of any other silent member.
    const Member *old = state().findMember(m_settings.host);
    if (!m_store.isKnown() || (old != nullptr && old->peerAddress != m_settings.peerAddress)) {
        m_watcher.tick(nullptr);
        return;
    }
    m_isAddingEntry = true;
    Member self;
    self.incarnation = m_incarnation;
    self.peerAddress = m_settings.peerAddress;
    self.callerAddress = m_settings.callerAddress;
    self.domain = m_settings.domain;
    m_store.update(
        [self, host = m_settings.host](ClusterState &state) {
            Member &entry = state.members[host];
            if (entry.incarnation == self.incarnation) {
                return false;
            }
            const int64_t shares = entry.shares; // safe to keep: the token bucket of a new incarnation starts empty
            entry = self;
            entry.shares = shares;
            state.distributeUnassignedShares();
            return true;
        },
        [this] {
            m_isAddingEntry = false;
            m_log.record(EventCode::NodeJoined, m_settings.host.text(), m_incarnation.text());
        });
}

void Membership::rebalanceShares()
{
    const Member *self = state().findMember(m_settings.host);
    int64_t active = 0;
    const Member *fewestShares = nullptr;
    HostId targetHost;
    for (const auto &[host, member] : state().members) {
        if (!state().isActive(host)) {
            continue;
        }
        ++active;
        if (host != m_settings.host && (fewestShares == nullptr || member.shares < fewestShares->shares)) {
            fewestShares = &member;
            targetHost = host;
        }
    }
    if (m_isTransferringShares || fewestShares == nullptr) {
        return;
    }
    const int64_t fair = ClusterState::totalShares / active;
    const int64_t amount = m_isLeaving ? self->shares : std::min(self->shares - fair, fair - fewestShares->shares);
    if (amount <= 0) {
        return;
    }
    // This host stops using the shares before the update is sent, so that both members never use them at once.
    m_isTransferringShares = true;
    m_sharesInTransfer = amount;
    m_handlers.onClusterChanged();
    m_store.update(
        [host = m_settings.host, incarnation = m_incarnation, targetHost, amount,
         before = self->shares](ClusterState &state) {
            const auto source = state.members.find(host);
            const auto destination = state.members.find(targetHost);
            const bool isUnchanged = source != state.members.end() && source->second.incarnation == incarnation
                && source->second.shares == before;
            if (!isUnchanged || destination == state.members.end()) {
                return false;
            }
            source->second.shares -= amount;
            destination->second.shares += amount;
            return true;
        },
        [this] {
            m_isTransferringShares = false;
            m_sharesInTransfer = 0;
            m_handlers.onClusterChanged();
        });
}

void Membership::beginLeaving()
{
    m_isLeaving = true;
    m_store.update(
        [host = m_settings.host, incarnation = m_incarnation](ClusterState &state) {
            const auto member = state.members.find(host);
            if (member == state.members.end() || member->second.incarnation != incarnation
                || member->second.isLeaving) {
                return false;
            }
            member->second.isLeaving = true;
            return true;
        },
        {});
}

void Membership::leave()
{
    m_lease.stop();
    m_store.update(
        [host = m_settings.host, incarnation = m_incarnation](ClusterState &state) {
            const auto member = state.members.find(host);
            if (member == state.members.end() || member->second.incarnation != incarnation) {
                return false;
            }
            state.members.erase(member);
            state.distributeUnassignedShares();
            return true;
        },
        [this] {
            m_hasLeft = true;
        });
}

}
