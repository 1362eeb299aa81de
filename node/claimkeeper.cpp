#include "node/claimkeeper.h"

#include "core/clock.h"
#include "core/eventlog.h"
#include "core/hash.h"
#include "node/nodesettings.h"
#include "objects/objectclient.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace vanillaspar
{

namespace
{

using Json = nlohmann::json;

constexpr size_t shardCount = 64;
constexpr size_t maxStoredBodySize = 2048; // bytes
constexpr Millis claimTimeout(4000); // after which a caller is refused
constexpr Millis retryDelay(300);

std::string shardPath(size_t shard)
{
    return "system/claims/" + std::to_string(shard);
}

}

ClaimKeeper::ClaimKeeper(const NodeSettings &settings, const Clock &clock, ObjectClient &objects, IsActive isActive,
                         EventLog &log)
    : m_settings(settings), m_clock(clock), m_objects(objects), m_isActive(std::move(isActive)), m_log(log)
{
}

void ClaimKeeper::setIncarnation(const Incarnation &incarnation)
{
    m_incarnation = incarnation;
}

void ClaimKeeper::claim(const TeamId &team, const std::string &key, const RequestId &attempt, const std::string &digest,
                        Handler handler)
{
    enqueue(team, {Action::Claim, key, attempt, digest, 0, {}, std::move(handler), m_clock.now() + claimTimeout});
}

void ClaimKeeper::recordAnswer(const TeamId &team, const std::string &key, const RequestId &attempt, int status,
                               const std::string &body)
{
    const bool isStored = body.size() <= maxStoredBodySize;
    enqueue(team,
            {Action::Answer,
             key,
             attempt,
             {},
             status,
             isStored ? body : std::string(),
             {},
             m_clock.now() + m_settings.claimRetention});
}

void ClaimKeeper::recordUnknown(const TeamId &team, const std::string &key, const RequestId &attempt)
{
    enqueue(team, {Action::Unknown, key, attempt, {}, 0, {}, {}, m_clock.now() + m_settings.claimRetention});
}

void ClaimKeeper::release(const TeamId &team, const std::string &key, const RequestId &attempt)
{
    enqueue(team, {Action::Release, key, attempt, {}, 0, {}, {}, m_clock.now() + m_settings.claimRetention});
}

void ClaimKeeper::enqueue(const TeamId &team, Change change)
{
    change.key = team.text() + "/" + change.key;
    const size_t index = stableHash(change.key) % shardCount;
    m_shards[index].pending.push_back(std::move(change));
    process(index);
}

void ClaimKeeper::process(size_t index)
{
    Shard &shard = m_shards[index];
    if (shard.hasCallInFlight || shard.pending.empty() || m_clock.now() < shard.nextAttemptAt) {
        return;
    }
    shard.hasCallInFlight = true;
    if (shard.isLoaded) {
        write(index);
    } else {
        read(index);
    }
}

void ClaimKeeper::read(size_t index)
{
    m_objects.get(shardPath(index), [this, index](const ObjectReply &reply) {
        Shard &shard = m_shards[index];
        shard.hasCallInFlight = false;
        if (reply.status == ObjectReply::Status::Unreachable) {
            shard.nextAttemptAt = m_clock.now() + retryDelay;
            return;
        }
        const bool exists = reply.status == ObjectReply::Status::Ok;
        shard.version = exists ? reply.version : ObjectVersion(0);
        shard.value = exists ? reply.value : "{}";
        shard.isLoaded = true;
        process(index);
    });
}

void ClaimKeeper::write(size_t index)
{
    Shard &shard = m_shards[index];
    Json claims = Json::parse(shard.value, nullptr, false);
    if (!claims.is_object()) {
        claims = Json::object();
    }
    dropExpired(claims);
    std::vector<Outcome> outcomes;
    for (const Change &change : shard.pending) {
        outcomes.push_back(apply(claims, change));
    }
    std::vector<Change> batch;
    batch.swap(shard.pending);
    const std::string value = claims.dump(-1, ' ', false, Json::error_handler_t::replace);
    m_objects.put(shardPath(index), shard.version, value,
                  [this, index, value, batch, outcomes](const ObjectReply &reply) {
                      onWritten(index, reply, value, batch, outcomes);
                  });
}

void ClaimKeeper::onWritten(size_t index, const ObjectReply &reply, const std::string &value, std::vector<Change> batch,
                            std::vector<Outcome> outcomes)
{
    Shard &shard = m_shards[index];
    shard.hasCallInFlight = false;
    if (reply.status != ObjectReply::Status::Ok) {
        // The write may have taken effect although the call failed, so the object is read again and the changes are
        // applied once more. That is harmless, as each change applies only to a claim of its own attempt.
        shard.isLoaded = false;
        shard.nextAttemptAt
            = reply.status == ObjectReply::Status::Unreachable ? m_clock.now() + retryDelay : m_clock.now();
        shard.pending.insert(shard.pending.begin(), std::make_move_iterator(batch.begin()),
                             std::make_move_iterator(batch.end()));
        expirePending(shard);
        process(index);
        return;
    }
    shard.version = reply.version;
    shard.value = value;
    for (size_t i = 0; i < batch.size(); ++i) {
        if (batch[i].handler) {
            batch[i].handler(outcomes[i]);
        }
    }
    process(index);
}

ClaimKeeper::Outcome ClaimKeeper::apply(Json &claims, const Change &change) const
{
    if (change.action == Action::Claim) {
        return applyClaim(claims, change);
    }
    const auto claim = claims.find(change.key);
    if (claim == claims.end() || claim->value("attempt", "") != change.attempt.text()) {
        return {};
    }
    switch (change.action) {
    case Action::Answer:
        (*claim)["state"] = "answered";
        (*claim)["status"] = change.status;
        (*claim)["body"] = change.body;
        break;
    case Action::Unknown:
        (*claim)["state"] = "unknown";
        break;
    case Action::Release:
        claims.erase(claim);
        break;
    case Action::Claim:
        break;
    }
    return {};
}

ClaimKeeper::Outcome ClaimKeeper::applyClaim(Json &claims, const Change &change) const
{
    const auto claim = claims.find(change.key);
    if (claim == claims.end()) {
        claims[change.key] = {{"attempt", change.attempt.text()},
                              {"digest", change.digest},
                              {"state", "running"},
                              {"by", m_incarnation.text()},
                              {"at", m_clock.wallNow().value}};
        return {Result::Granted, 0, {}};
    }
    if (claim->value("attempt", "") == change.attempt.text()) {
        return {Result::Granted, 0, {}}; // an earlier write took effect, but its reply was lost
    }
    if (claim->value("digest", "") != change.digest) {
        return {Result::Mismatch, 0, {}};
    }
    const std::string state = claim->value("state", "");
    if (state == "answered") {
        return {Result::Answered, claim->value("status", 200), claim->value("body", "")};
    }
    const bool isInProgress = state == "running" && m_isActive(Incarnation(claim->value("by", "")));
    return {isInProgress ? Result::Running : Result::Unknown, 0, {}};
}

void ClaimKeeper::dropExpired(Json &claims) const
{
    for (auto claim = claims.begin(); claim != claims.end();) {
        const Millis age = m_clock.wallNow() - Millis(claim->value("at", int64_t(0)));
        claim = age > m_settings.claimRetention ? claims.erase(claim) : std::next(claim);
    }
}

void ClaimKeeper::expirePending(Shard &shard)
{
    std::vector<Change> remaining;
    std::vector<Change> expired;
    for (Change &change : shard.pending) {
        (change.expiresAt <= m_clock.now() ? expired : remaining).push_back(std::move(change));
    }
    shard.pending = std::move(remaining);
    for (Change &change : expired) {
        if (change.action != Action::Claim) {
            continue;
        }
        // The claim may have been written although its request was never sent, so it is released when the platform
        // answers again.
        shard.pending.push_back(
            {Action::Release, change.key, change.attempt, {}, 0, {}, {}, m_clock.now() + m_settings.claimRetention});
        m_log.record(EventCode::ClaimUncertain, change.attempt.text(), "the platform did not answer");
        change.handler({Result::Unavailable, 0, {}});
    }
}

void ClaimKeeper::tick()
{
    std::vector<size_t> indexes;
    for (auto &[index, shard] : m_shards) {
        if (!shard.hasCallInFlight) {
            expirePending(shard);
        }
        indexes.push_back(index);
    }
    for (size_t index : indexes) {
        process(index);
    }
}

size_t ClaimKeeper::pendingCount() const
{
    size_t count = 0;
    for (const auto &[index, shard] : m_shards) {
        count += shard.pending.size() + (shard.hasCallInFlight ? 1 : 0);
    }
    return count;
}

}
