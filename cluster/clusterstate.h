#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <map>
#include <string>
#include <vector>

namespace vanillaspar
{

/** A host that is a member of the cluster. */
struct Member
{
    Incarnation incarnation; ///< The process that runs on the host; changes at every start.
    std::string peerAddress; ///< IP number and port for other hosts.
    std::string callerAddress; ///< IP number and port for callers.
    DomainId domain;
    int64_t shares = 0; ///< The host's share of every team's rate and burst, out of ClusterState::totalShares.
    bool isLeaving = false; ///< Whether the host is shutting down and takes no new replicas.
    bool isFenced
        = false; ///< Whether its lease was revoked. It is removed when it is confirmed dead or its long lease ends.
};

/**
 * A former owner of a replica that was removed when its long lease ended, without confirmation that it is dead.
 *
 * Its orders and requests may still reach the replica.
 */
struct PossiblyLiveOwner
{
    HostId host;
    Incarnation incarnation;

    bool operator==(const PossiblyLiveOwner &) const = default;
};

/** The owner of a replica: the one host that sends it requests and orders to load or unload adapters. */
struct Ownership
{
    HostId host; ///< Empty while the replica has no owner.
    Incarnation incarnation;
    Epoch epoch; ///< Fencing number; rises with every change of owner.
    std::vector<PossiblyLiveOwner> possiblyLiveOwners;
};

/** Members, quota shares and replica owners on which all hosts agree; stored as one object on the platform. */
struct ClusterState
{
    static constexpr int64_t totalShares = 840; // divisible by every number of hosts from 1 to 8

    ObjectVersion version; ///< Version of the object that the state was read from; not part of its text.
    Epoch lastEpoch; ///< The highest fencing number given out so far.
    std::map<HostId, Member> members;
    std::map<ReplicaId, Ownership> owners;

    /** @return the member, or nullptr if @p host is not a member. */
    const Member *findMember(const HostId &host) const;
    /** @return how many of the totalShares no member holds. */
    int64_t unassignedShares() const;
    /** @return whether @p host is a member that may be given replicas and shares: neither leaving nor fenced. */
    bool isActive(const HostId &host) const;

    /**
     * Makes a host the owner of a replica, with a new fencing number.
     *
     * @param host a member.
     * @throws std::out_of_range if @p host is not a member.
     */
    void assign(const ReplicaId &replica, const HostId &host);
    /** Gives the unassigned shares one by one to the active member that has the fewest. */
    void distributeUnassignedShares();

    /** @return the JSON text that is stored in the cluster object. */
    std::string toText() const;
    /**
     * Parses the content of the cluster object.
     *
     * @param version version of the object.
     * @throws DecodeError if @p text is not JSON or lacks a field.
     */
    static ClusterState fromText(const std::string &text, ObjectVersion version);
};

/**
 * Chooses the owner of a replica by rendezvous hashing, so that all hosts that see the same members agree.
 *
 * Hosts in the replica's failure domain are preferred: if that domain fails, host and replica fail together and no
 * other domain's replica loses its owner.
 *
 * @param domain the replica's failure domain.
 * @return the host, or an empty id if no member is active.
 */
HostId desiredOwner(const ClusterState &state, const ReplicaId &replica, const DomainId &domain);

}
