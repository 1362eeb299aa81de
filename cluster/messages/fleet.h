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

/** How much of a replica one host uses. */
struct ReplicaUse
{
    uint32_t replica = 0; ///< Short hash of the replica's id.
    uint16_t running = 0; ///< Requests of this host.
    uint32_t tokens = 0; ///< Tokens of these requests.
    uint32_t unread = 0; ///< Prompt tokens of those that have not begun to answer.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(replica, running, tokens, unread);
    }
};

/** What one host has admitted for a team, and how the team's quota stands there. */
struct TeamUse
{
    uint32_t team = 0; ///< Short hash of the team's id.
    int64_t admitted = 0; ///< Since the host's process started, less what was given back.
    int64_t recent = 0; ///< Of these, what a receiver that has just started may hear of from nobody else.
    int64_t level = 0; ///< Tokens in the sender's bucket; negative for a debt.
    bool isLevelKnown = false; ///< Whether the sender has heard the others for long enough to know its level.
    bool isReceiverCounted = false; ///< Whether the level accounts for what the receiver has admitted.
    int64_t receiverCount = 0; ///< The receiver's own count up to which it does.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(team, admitted, recent, level, isLevelKnown, isReceiverCounted, receiverCount);
    }
};

/** How new the sender's copy of a record is. */
struct RecordProof
{
    int64_t revision = 0;
    int64_t age = -1; ///< Milliseconds since the copy was known to be the newest; negative if never.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(revision, age);
    }
};

/** What a host tells of another one that it hears. */
struct HostSign
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

/** Whom the uses and teams of a beat are about. */
enum class BeatScope : uint8_t
{
    Nobody, ///< The receiver hears of them from another host.
    Sender, ///< The sender, and the hosts that it speaks for.
    AllOthers, ///< All hosts but the receiver.
};

/** A host's periodic report to another one. */
struct HostBeat
{
    Incarnation incarnation;
    BeatScope scope = BeatScope::Sender;
    uint64_t sequence = 0;
    uint64_t echoed = 0; ///< Sequence of the newest beat that the sender has from the receiver; 0 if none.
    Incarnation echoedLife; ///< The receiver's incarnation in that beat; empty if none.
    bool isReady = false;
    bool isStopping = false;
    bool reachesStore = false;
    uint16_t slowLoads = 0; ///< Adapters that the sender has ordered and that are on their way from the weight store.
    uint16_t modelLoads = 0; ///< Base models that the sender has ordered and that are being loaded.
    int64_t backendsRevision = 0; ///< Of the newest replica that the sender knows, or the newest life of one.
    RecordProof configuration;
    RecordProof owners;
    std::vector<ReplicaUse> uses;
    std::vector<TeamUse> teams;
    std::vector<uint32_t> leaving; ///< Short hashes of replicas that began to leave in the last seconds.
    std::vector<HostSign> told; ///< Hosts that the sender tells of, itself not among them.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(incarnation, scope, sequence, echoed, echoedLife, isReady, isStopping, reachesStore, slowLoads,
                modelLoads, backendsRevision, configuration, owners, uses, teams, leaving, told);
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
    int64_t bornAt = 0; ///< Start time of the incarnation of the replica that the report is about.
    uint64_t sequence = 0; ///< Increases with each report of this owner on this replica.
    std::vector<ResidentAdapter> adapters;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(replica, owner, bornAt, sequence, adapters);
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
    uint16_t waiting = 0; ///< Number of requests at the sender that wait for it.
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
