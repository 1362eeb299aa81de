#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <string>
#include <vector>

namespace vanillaspar
{

/** Requests at a replica, summed over the hosts that the heartbeat's scope covers. */
struct ReplicaUse
{
    uint32_t replica = 0; ///< Short hash of the replica's id.
    uint16_t running = 0; ///< Number of requests that the replica executes or has queued.
    uint32_t tokens = 0; ///< Prompt and output tokens of these requests.
    uint32_t pendingPrefill = 0; ///< Prompt tokens of those requests whose response has not started.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(replica, running, tokens, pendingPrefill);
    }
};

/** What a host has admitted for a team, and its view of the team's token bucket. */
struct TeamUse
{
    uint32_t team = 0; ///< Short hash of the team's id.
    int64_t admitted = 0; ///< Tokens admitted since the host's process started, minus refunds.
    /**
     * Tokens admitted in at least the last 300 ms. A failed hub may not have relayed them, so a receiver that has just
     * started may learn of them from nobody else.
     */
    int64_t recentlyAdmitted = 0;
    int64_t level = 0; ///< Tokens in the bucket as the sender sees it; negative for a debt.
    bool isLevelKnown = false; ///< Whether the sender has received reports for long enough to know the level.
    bool isReceiverIncluded = false; ///< Whether the level includes tokens that the receiver has admitted.
    int64_t receiverAdmitted = 0; ///< The receiver's admitted count that the level includes.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(team, admitted, recentlyAdmitted, level, isLevelKnown, isReceiverIncluded, receiverAdmitted);
    }
};

/** How recently the sender's copy of a record is known to equal the store's. */
struct RecordFreshness
{
    int64_t revision = 0; ///< The copy's revision in the store.
    int64_t age = -1; ///< Milliseconds since the copy was known to equal the store's; negative if it never was.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(revision, age);
    }
};

/** A host's state, as another host relays it. */
struct HostStatus
{
    uint32_t host = 0; ///< Short hash of the host's name.
    bool isReady = false;
    bool isStopping = false;
    bool reachesStore = false;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(host, isReady, isStopping, reachesStore);
    }
};

/** Which hosts a heartbeat's uses and teams cover. */
enum class HeartbeatScope : uint8_t
{
    None, ///< No host: the receiver gets these figures from another sender.
    SenderAndLeaves, ///< The sender and its leaf hosts.
    AllButReceiver, ///< All hosts but the receiver.
};

/** A host's periodic datagram to another host. */
struct HostHeartbeat
{
    Incarnation incarnation;
    HeartbeatScope scope = HeartbeatScope::SenderAndLeaves;
    uint64_t sequence = 0; ///< Number of the sender's round; rises within an incarnation.
    uint64_t echoedSequence = 0; ///< Sequence of the last heartbeat from the receiver; 0 if none.
    Incarnation echoedIncarnation; ///< The receiver's incarnation in that heartbeat; empty if none.
    bool isReady = false;
    bool isStopping = false;
    bool reachesStore = false; ///< Whether the store has answered the sender recently.
    uint16_t adapterLoads = 0; ///< Adapters being transferred from the weight store that the sender has ordered.
    uint16_t modelLoads = 0; ///< Base models being loaded that the sender has ordered.
    int64_t backendsRevision = 0; ///< Of the newest entry of a new or restarted replica that the sender knows.
    RecordFreshness configuration;
    RecordFreshness owners;
    std::vector<ReplicaUse> uses;
    std::vector<TeamUse> teams;
    std::vector<uint32_t> leaving; ///< Short hashes of the ids of replicas that began to leave in the last seconds.
    std::vector<HostStatus> relayedHosts; ///< States of other hosts that the sender reports for.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(incarnation, scope, sequence, echoedSequence, echoedIncarnation, isReady, isStopping, reachesStore,
                adapterLoads, modelLoads, backendsRevision, configuration, owners, uses, teams, leaving, relayedHosts);
    }
};

/**
 * How recently the sender's copy of the adapters' versions is known to equal the store's. It echoes the receiver's last
 * heartbeat, so that the receiver can tell by its own clock.
 */
struct VersionProof
{
    uint64_t echoedSequence = 0; ///< Sequence of the last heartbeat from the receiver.
    Incarnation echoedIncarnation; ///< The receiver's incarnation in that heartbeat.
    RecordFreshness versions; ///< Its revision is that of the newest announcement.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(echoedSequence, echoedIncarnation, versions);
    }
};

/** Weights that are resident in a replica or being loaded. */
struct ResidentAdapter
{
    std::string weights; ///< "model/adapter", or "model" for a base model.
    int64_t version = 0;
    int32_t readyInMs = 0; ///< Estimated milliseconds until it can be used; 0 if it can be now.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(weights, version, readyInMs);
    }
};

/** What is resident in a replica, by its owner, the host that orders its loads. Each report is complete. */
struct ResidencyReport
{
    ReplicaId replica;
    HostId owner; ///< The creator of the report; other hosts may forward it.
    int64_t incarnation = 0; ///< Start time of the incarnation of the replica that the report is about.
    uint64_t sequence = 0; ///< Increases with each report of this owner on this replica.
    std::vector<ResidentAdapter> adapters;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(replica, owner, incarnation, sequence, adapters);
    }
};

/** Residency reports on several replicas. */
struct ResidencyReportBatch
{
    std::vector<ResidencyReport> reports;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(reports);
    }
};

/** Requests an adapter in a replica from the replica's owner. */
struct AdapterRequest
{
    ReplicaId replica;
    std::string weights;
    int64_t version = 0; ///< The oldest version that is acceptable; 0 for any.
    uint16_t waiting = 0; ///< Number of requests at the sender that wait for it and can still be answered in time.
    bool wasMissing = false; ///< Whether the replica answered that the adapter isn't resident.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(replica, weights, version, waiting, wasMissing);
    }
};

/** How many requests of one host use an adapter. */
struct AdapterUse
{
    std::string weights;
    uint16_t running = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(weights, running);
    }
};

/** Which adapters one host uses in a replica. Each report is complete. */
struct AdapterUseReport
{
    ReplicaId replica;
    std::vector<AdapterUse> uses;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(replica, uses);
    }
};

/** Use reports of one host on several replicas, sent to the owner of these replicas. */
struct AdapterUseBatch
{
    std::vector<AdapterUseReport> reports;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(reports);
    }
};

}
