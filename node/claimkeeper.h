#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <functional>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace vanillaspar
{

class Clock;
class EventLog;
class ObjectClient;
struct NodeSettings;
struct ObjectReply;

/**
 * Records on the platform which idempotency keys have been used, before their requests are sent.
 *
 * A claim stands in one of a fixed number of objects, chosen by team and key. All claims that wait for an object are
 * written in one conditional update, so that two hosts can never both hold the claim for a key.
 */
class ClaimKeeper
{
public:
    /** What became of a claim. */
    enum class Result
    {
        Granted, ///< The request may be sent, once.
        Answered, ///< It ran before; the answer is known.
        Running, ///< Another attempt holds the claim and may still answer.
        Unknown, ///< Another attempt held the claim and its outcome was lost.
        Mismatch, ///< The key was used with another request.
        Unavailable, ///< The platform didn't answer; nothing was sent.
    };
    struct Outcome
    {
        Result result = Result::Unavailable;
        int status = 0; ///< Of the earlier answer.
        std::string body; ///< Of the earlier answer.
    };
    using Handler = std::function<void(const Outcome &)>;
    /** Tells whether an incarnation may still be working. */
    using IsActive = std::function<bool(const Incarnation &)>;

    ClaimKeeper(const NodeSettings &settings, const Clock &clock, ObjectClient &objects, IsActive isActive,
                EventLog &log);

    void setIncarnation(const Incarnation &incarnation);

    /**
     * Asks for the right to run a request.
     *
     * @param attempt unique for this try of the request.
     * @param digest SHA-256 of route and body.
     */
    void claim(const TeamId &team, const std::string &key, const RequestId &attempt, const std::string &digest,
               Handler handler);
    /** Records the answer. Answers too large to keep are recorded without their body. */
    void recordAnswer(const TeamId &team, const std::string &key, const RequestId &attempt, int status,
                      const std::string &body);
    /** Records that the outcome was lost. */
    void recordUnknown(const TeamId &team, const std::string &key, const RequestId &attempt);
    /** Takes a claim back whose request was not run. */
    void release(const TeamId &team, const std::string &key, const RequestId &attempt);

    void tick();
    /** @return changes that have not reached the platform yet. */
    size_t pendingCount() const;

private:
    enum class Action
    {
        Claim,
        Answer,
        Unknown,
        Release,
    };
    struct Change
    {
        Action action = Action::Claim;
        std::string key; ///< Team and key.
        RequestId attempt;
        std::string digest;
        int status = 0;
        std::string body;
        Handler handler;
        Millis expiresAt;
    };
    struct Shard
    {
        ObjectVersion version;
        std::string value;
        bool isLoaded = false;
        bool hasCallInFlight = false;
        Millis nextAttemptAt;
        std::vector<Change> pending;
    };

    void enqueue(const TeamId &team, Change change);
    void process(size_t index);
    void read(size_t index);
    void write(size_t index);
    void onWritten(size_t index, const ObjectReply &reply, const std::string &value, std::vector<Change> batch,
                   std::vector<Outcome> outcomes);
    Outcome apply(nlohmann::json &claims, const Change &change) const;
    Outcome applyClaim(nlohmann::json &claims, const Change &change) const;
    void dropExpired(nlohmann::json &claims) const;
    void expirePending(Shard &shard);

    const NodeSettings &m_settings;
    const Clock &m_clock;
    ObjectClient &m_objects;
    IsActive m_isActive;
    EventLog &m_log;
    Incarnation m_incarnation;
    std::map<size_t, Shard> m_shards;
};

}
