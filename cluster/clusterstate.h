#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <map>
#include <string>
#include <vector>

namespace vanillaspar
{

/** One entry host that takes part. */
struct Member
{
    Incarnation incarnation;
    std::string peerAddress;
    std::string callerAddress;
    DomainId domain;
    int64_t shares = 0; ///< Part of every team's rate and burst, out of ClusterState::totalShares.
    bool isLeaving = false;
    bool isFenced = false; ///< Its lease was taken away; only the long lease still counts.
};

/** A node that owned a replica and was never proved to be gone. */
struct PossiblyLiveOwner
{
    HostId host;
    Incarnation incarnation;

    bool operator==(const PossiblyLiveOwner &) const = default;
};

/** Who sends a replica its work and orders. */
struct Ownership
{
    HostId host; ///< Empty while nobody owns it.
    Incarnation incarnation;
    Epoch epoch; ///< Fencing number.
    std::vector<PossiblyLiveOwner> possiblyLiveOwners;
};

/** The fleet's agreed state: the content of one object of the platform. */
struct ClusterState
{
    static constexpr int64_t totalShares = 840; // divides evenly among 1 to 8 hosts

    ObjectVersion version;
    Epoch lastEpoch;
    std::map<HostId, Member> members;
    std::map<ReplicaId, Ownership> owners;

    /** @return the member, or nullptr if @p host is none. */
    const Member *findMember(const HostId &host) const;
    /** @return shares that no member holds. */
    int64_t unassignedShares() const;
    /** @return whether @p host is a member that may get new work. */
    bool isActive(const HostId &host) const;

    /** Gives a replica to a host with a new fencing number. */
    void assign(const ReplicaId &replica, const HostId &host);
    /** Hands the shares that no member holds to the active members that have the fewest. */
    void distributeUnassignedShares();

    /** @return the state as the text of its object. */
    std::string toText() const;
    /** @throws DecodeError if @p text isn't a cluster state. */
    static ClusterState fromText(const std::string &text, ObjectVersion version);
};

/**
 * Chooses the owner of a replica, the same on every host that sees the same members.
 *
 * A host of the replica's own failure domain goes first, since both then fail together.
 *
 * @return the host, or an empty id if no member is active.
 */
HostId desiredOwner(const ClusterState &state, const ReplicaId &replica, const DomainId &domain);

}
