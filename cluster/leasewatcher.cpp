#include "cluster/leasewatcher.h"

#include "cluster/clusterstore.h"
#include "cluster/lease.h"
#include "cluster/peertable.h"
#include "config/activeconfig.h"
#include "core/clock.h"
#include "core/eventlog.h"
#include "node/nodesettings.h"
#include "objects/objectclient.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace vanillaspar
{

namespace
{

constexpr int64_t missedHeartbeatsUntilSuspected = 4;
constexpr Millis readInterval(1000);

using DomainTable = std::map<ReplicaId, DomainId>;

/** @return failure domains by replica, either of all replicas or only of those that check fencing numbers. */
DomainTable domainsOf(const ActiveConfig &config, bool onlyCheckingFencingNumbers)
{
    DomainTable domains;
    for (const Replica &replica : config.document().replicas) {
        if (replica.checksFencingNumber || !onlyCheckingFencingNumbers) {
            domains[replica.id] = replica.domain;
        }
    }
    return domains;
}

/**
 * Moves the replicas of a failed owner to the hosts that desiredOwner() chooses.
 *
 * @param old the failed owner.
 * @param domains the replicas to move, with their failure domains; others keep their owner.
 * @param isOldOwnerExcluded whether requests of @p old can no longer take effect on these replicas; otherwise it is
 * recorded as possibly live.
 */
void moveReplicas(ClusterState &state, const PossiblyLiveOwner &old, const DomainTable &domains,
                  bool isOldOwnerExcluded)
{
    for (auto &[replica, ownership] : state.owners) {
        const auto domain = domains.find(replica);
        if (ownership.host != old.host || ownership.incarnation != old.incarnation || domain == domains.end()) {
            continue;
        }
        if (!isOldOwnerExcluded) {
            ownership.possiblyLiveOwners.push_back(old);
        }
        const HostId next = desiredOwner(state, replica, domain->second);
        if (next.isEmpty()) {
            ownership.host = HostId();
        } else {
            state.assign(replica, next);
        }
    }
}

}

LeaseWatcher::LeaseWatcher(const NodeSettings &settings, const Clock &clock, ObjectClient &objects, ClusterStore &store,
                           const PeerTable &peers, EventLog &log)
    : m_settings(settings), m_clock(clock), m_objects(objects), m_store(store), m_peers(peers), m_log(log)
{
}

void LeaseWatcher::reset()
{
    m_suspects.clear();
    ++m_generation;
}

void LeaseWatcher::tick(const ActiveConfig *config)
{
    const std::map<HostId, Member> members = m_store.state().members;
    for (const auto &[host, member] : members) {
        if (host != m_settings.host) {
            checkMember(host, member, config);
        }
    }
    std::erase_if(m_suspects, [&](const auto &entry) {
        const auto member = members.find(entry.first);
        return member == members.end() || member->second.incarnation != entry.second.incarnation;
    });
}

void LeaseWatcher::checkMember(const HostId &host, const Member &member, const ActiveConfig *config)
{
    const bool isDead = m_peers.isConfirmedDead(host, member.incarnation);
    const Millis silence = m_clock.now() - m_peers.lastHeardAt(host, member.incarnation);
    const bool isSilent
        = m_peers.isProbedRegularly(host) && silence > m_settings.heartbeatInterval * missedHeartbeatsUntilSuspected;
    if (!isDead && !isSilent) {
        m_suspects.erase(host);
        return;
    }
    Suspect &suspect = m_suspects[host];
    if (suspect.incarnation != member.incarnation) {
        suspect = Suspect {};
        suspect.incarnation = member.incarnation;
    }
    if (suspect.isBusy || suspect.isBeingRemoved) {
        return;
    }
    if (isDead && config != nullptr) {
        remove(host, suspect, true, *config);
        return;
    }
    const bool isObserved = suspect.unchangedSince.value >= 0;
    const Millis unchangedFor = m_clock.now() - suspect.unchangedSince;
    const bool isLongLeaseOver = unchangedFor > m_settings.longLease + m_settings.leaseMargin;
    if (isObserved && suspect.isFenced && isLongLeaseOver && config != nullptr) {
        remove(host, suspect, false, *config);
    } else if (isObserved && suspect.isFenced && !member.isFenced && config != nullptr) {
        moveFencedReplicas(host, member.incarnation, *config);
    } else if (isObserved && !suspect.isFenced && unchangedFor > m_settings.shortLease + m_settings.leaseMargin
               && m_clock.now() >= suspect.nextReadAt) {
        fence(host, suspect);
    } else if (m_clock.now() >= suspect.nextReadAt) {
        read(host);
    }
}

LeaseWatcher::Suspect *LeaseWatcher::find(const HostId &host, const Incarnation &incarnation)
{
    const auto found = m_suspects.find(host);
    const bool isSame = found != m_suspects.end() && found->second.incarnation == incarnation;
    return isSame ? &found->second : nullptr;
}

void LeaseWatcher::read(const HostId &host)
{
    Suspect &suspect = m_suspects.at(host);
    suspect.isBusy = true;
    suspect.nextReadAt = m_clock.now() + readInterval;
    m_objects.get(Lease::pathOf(host),
                  [this, host, incarnation = suspect.incarnation, generation = m_generation](const ObjectReply &reply) {
                      if (generation == m_generation) {
                          onRead(host, incarnation, reply);
                      }
                  });
}

void LeaseWatcher::onRead(const HostId &host, const Incarnation &incarnation, const ObjectReply &reply)
{
    Suspect *suspect = find(host, incarnation);
    if (suspect == nullptr) {
        return;
    }
    suspect->isBusy = false;
    if (reply.status != ObjectReply::Status::Ok) {
        return;
    }
    if (reply.version > suspect->version) {
        // The renewal happened before this reply arrived, so counting from now can only delay the takeover.
        suspect->version = reply.version;
        suspect->unchangedSince = m_clock.now();
        const nlohmann::json lease = nlohmann::json::parse(reply.value, nullptr, false);
        suspect->isFenced
            = lease.is_object() && lease.value("fenced", false) && lease.value("incarnation", "") == incarnation.text();
    }
}

void LeaseWatcher::fence(const HostId &host, Suspect &suspect)
{
    suspect.isBusy = true;
    suspect.nextReadAt = m_clock.now() + readInterval;
    const Incarnation incarnation = suspect.incarnation;
    m_objects.put(Lease::pathOf(host), suspect.version, Lease::textOf(incarnation, 0, true),
                  [this, host, incarnation, generation = m_generation](const ObjectReply &reply) {
                      Suspect *current = generation == m_generation ? find(host, incarnation) : nullptr;
                      if (current == nullptr) {
                          return;
                      }
                      current->isBusy = false;
                      if (reply.status == ObjectReply::Status::Ok) {
                          current->isFenced = true;
                          current->version = reply.version;
                          m_log.record(EventCode::PeerFenced, host.text(), incarnation.text());
                      }
                  });
}

void LeaseWatcher::moveFencedReplicas(const HostId &host, const Incarnation &incarnation, const ActiveConfig &config)
{
    Suspect &suspect = m_suspects.at(host);
    suspect.isBusy = true;
    const DomainTable domains = domainsOf(config, true);
    m_store.update(
        [host, incarnation, domains](ClusterState &state) {
            const auto member = state.members.find(host);
            if (member == state.members.end() || member->second.incarnation != incarnation || member->second.isFenced) {
                return false;
            }
            member->second.isFenced = true;
            moveReplicas(state, {host, incarnation}, domains, true); // these replicas refuse the old fencing number
            return true;
        },
        [this, host, incarnation] {
            if (Suspect *current = find(host, incarnation)) {
                current->isBusy = false;
            }
        });
}

void LeaseWatcher::remove(const HostId &host, Suspect &suspect, bool isConfirmedDead, const ActiveConfig &config)
{
    suspect.isBeingRemoved = true;
    const DomainTable domains = domainsOf(config, false);
    const Incarnation incarnation = suspect.incarnation;
    m_store.update(
        [host, incarnation, isConfirmedDead, domains](ClusterState &state) {
            const auto member = state.members.find(host);
            if (member == state.members.end() || member->second.incarnation != incarnation) {
                return false;
            }
            state.members.erase(member);
            moveReplicas(state, {host, incarnation}, domains, isConfirmedDead);
            state.distributeUnassignedShares();
            return true;
        },
        [this, host, incarnation, isConfirmedDead] {
            m_log.record(EventCode::PeerRemoved, host.text(),
                         isConfirmedDead ? "confirmed dead" : "long lease expired");
            if (Suspect *current = find(host, incarnation)) {
                current->isBeingRemoved = false;
            }
        });
}

}
