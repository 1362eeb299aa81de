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
constexpr size_t largestKeptBody = 2048; // bytes
constexpr Millis claimPatience(4000); // how long a caller waits for the platform
constexpr Millis retryDelay(300);

std::string pathOf(size_t shard)
{
    return "system/claims/" + std::to_string(shard);
}

}

ClaimKeeper::ClaimKeeper(const NodeSettings &settings, const Clock &clock, ObjectClient &objects, IsAlive isAlive,
                         EventLog &log)
    : m_settings(settings), m_clock(clock), m_objects(objects), m_isAlive(std::move(isAlive)), m_log(log)
{
}

void ClaimKeeper::setIncarnation(const Incarnation &incarnation)
{
    m_incarnation = incarnation;
}

void ClaimKeeper::claim(const TeamId &team, const std::string &key, const RequestId &attempt, const std::string &digest,
                        Handler handler)
{
    add(team, {Action::Claim, key, attempt, digest, 0, {}, std::move(handler), m_clock.now() + claimPatience});
}

void ClaimKeeper::recordAnswer(const TeamId &team, const std::string &key, const RequestId &attempt, int status,
                               const std::string &body)
{
    const bool isKept = body.size() <= largestKeptBody;
    add(team,
        {Action::Answer,
         key,
         attempt,
         {},
         status,
         isKept ? body : std::string(),
         {},
         m_clock.now() + m_settings.claimRetention});
}

void ClaimKeeper::recordUnknown(const TeamId &team, const std::string &key, const RequestId &attempt)
{
    add(team, {Action::Unknown, key, attempt, {}, 0, {}, {}, m_clock.now() + m_settings.claimRetention});
}

void ClaimKeeper::release(const TeamId &team, const std::string &key, const RequestId &attempt)
{
    add(team, {Action::Release, key, attempt, {}, 0, {}, {}, m_clock.now() + m_settings.claimRetention});
}

void ClaimKeeper::add(const TeamId &team, Change change)
{
    change.key = team.text() + "/" + change.key;
    const size_t index = stableHash(change.key) % shardCount;
    m_shards[index].waiting.push_back(std::move(change));
    work(index);
}

void ClaimKeeper::work(size_t index)
{
    Shard &shard = m_shards[index];
    if (shard.isBusy || shard.waiting.empty() || m_clock.now() < shard.nextAt) {
        return;
    }
    shard.isBusy = true;
    if (shard.isKnown) {
        write(index);
    } else {
        read(index);
    }
}

void ClaimKeeper::read(size_t index)
{
    m_objects.get(pathOf(index), [this, index](const ObjectReply &reply) {
        Shard &shard = m_shards[index];
        shard.isBusy = false;
        if (reply.status == ObjectReply::Status::Unreachable) {
            shard.nextAt = m_clock.now() + retryDelay;
            return;
        }
        const bool exists = reply.status == ObjectReply::Status::Ok;
        shard.version = exists ? reply.version : ObjectVersion(0);
        shard.value = exists ? reply.value : "{}";
        shard.isKnown = true;
        work(index);
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
    std::vector<Verdict> verdicts;
    for (const Change &change : shard.waiting) {
        verdicts.push_back(apply(claims, change));
    }
    std::vector<Change> batch;
    batch.swap(shard.waiting);
    const std::string value = claims.dump(-1, ' ', false, Json::error_handler_t::replace);
    m_objects.put(pathOf(index), shard.version, value, [this, index, value, batch, verdicts](const ObjectReply &reply) {
        onWritten(index, reply, value, batch, verdicts);
    });
}

void ClaimKeeper::onWritten(size_t index, const ObjectReply &reply, const std::string &value, std::vector<Change> batch,
                            std::vector<Verdict> verdicts)
{
    Shard &shard = m_shards[index];
    shard.isBusy = false;
    if (reply.status != ObjectReply::Status::Ok) {
        // Whether the write took effect is read back; the changes are applied anew and are idempotent by attempt.
        shard.isKnown = false;
        shard.nextAt = reply.status == ObjectReply::Status::Unreachable ? m_clock.now() + retryDelay : m_clock.now();
        shard.waiting.insert(shard.waiting.begin(), std::make_move_iterator(batch.begin()),
                             std::make_move_iterator(batch.end()));
        giveUp(shard);
        work(index);
        return;
    }
    shard.version = reply.version;
    shard.value = value;
    for (size_t i = 0; i < batch.size(); ++i) {
        if (batch[i].handler) {
            batch[i].handler(verdicts[i]);
        }
    }
    work(index);
}

ClaimKeeper::Verdict ClaimKeeper::apply(Json &claims, const Change &change) const
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

ClaimKeeper::Verdict ClaimKeeper::applyClaim(Json &claims, const Change &change) const
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
        return {Result::Granted, 0, {}}; // written by this attempt before a lost reply
    }
    if (claim->value("digest", "") != change.digest) {
        return {Result::Mismatch, 0, {}};
    }
    const std::string state = claim->value("state", "");
    if (state == "answered") {
        return {Result::Answered, claim->value("status", 200), claim->value("body", "")};
    }
    const bool mayAnswer = state == "running" && m_isAlive(Incarnation(claim->value("by", "")));
    return {mayAnswer ? Result::Running : Result::Unknown, 0, {}};
}

void ClaimKeeper::dropExpired(Json &claims) const
{
    for (auto claim = claims.begin(); claim != claims.end();) {
        const Millis age = m_clock.wallNow() - Millis(claim->value("at", int64_t(0)));
        claim = age > m_settings.claimRetention ? claims.erase(claim) : std::next(claim);
    }
}

void ClaimKeeper::giveUp(Shard &shard)
{
    std::vector<Change> kept;
    std::vector<Change> overdue;
    for (Change &change : shard.waiting) {
        (change.giveUpAt <= m_clock.now() ? overdue : kept).push_back(std::move(change));
    }
    shard.waiting = std::move(kept);
    for (Change &change : overdue) {
        if (change.action != Action::Claim) {
            continue;
        }
        // The claim may stand although it was never used, so it is taken back once the platform answers.
        shard.waiting.push_back(
            {Action::Release, change.key, change.attempt, {}, 0, {}, {}, m_clock.now() + m_settings.claimRetention});
        m_log.record(EventCode::ClaimUncertain, change.attempt.text(), "the platform did not answer");
        change.handler({Result::Unavailable, 0, {}});
    }
}

void ClaimKeeper::tick()
{
    std::vector<size_t> indexes;
    for (auto &[index, shard] : m_shards) {
        if (!shard.isBusy) {
            giveUp(shard);
        }
        indexes.push_back(index);
    }
    for (size_t index : indexes) {
        work(index);
    }
}

size_t ClaimKeeper::pendingCount() const
{
    size_t count = 0;
    for (const auto &[index, shard] : m_shards) {
        count += shard.waiting.size() + (shard.isBusy ? 1 : 0);
    }
    return count;
}

}
