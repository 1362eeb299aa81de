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
 * Records idempotency keys in the platform's object store before their requests are sent, so that a non-idempotent
 * request is executed at most once.
 *
 * A claim is the record that a request holds an idempotency key of its team. Claims are distributed over a fixed number
 * of objects by a hash of team and key. All pending changes to an object are written in one conditional update, so that
 * no two hosts can hold the same claim.
 */
class ClaimKeeper
{
public:
    /** The result of claim(). */
    enum class Result
    {
        Granted, ///< The request may be sent, once.
        Answered, ///< The request was executed before; the answer is known.
        Running, ///< Another request holds the claim and may still be answered.
        Unknown, ///< Another request holds the claim and its outcome is unknown.
        Mismatch, ///< The key was used for a request with another digest.
        Unavailable, ///< The platform didn't answer in time; the request must not be sent.
    };
    struct Outcome
    {
        Result result = Result::Unavailable;
        int status = 0; ///< HTTP status of the earlier answer.
        std::string body; ///< Of the earlier answer; empty if it was too large to store.
    };
    /** Called once for each claim(). */
    using Handler = std::function<void(const Outcome &)>;
    /** @return whether a node with this incarnation may still be running. */
    using IsActive = std::function<bool(const Incarnation &)>;

    ClaimKeeper(const NodeSettings &settings, const Clock &clock, ObjectClient &objects, IsActive isActive,
                EventLog &log);

    /** Sets the incarnation that is recorded as the holder of new claims. */
    void setIncarnation(const Incarnation &incarnation);

    /**
     * Claims the idempotency key for a request.
     *
     * @param attempt the ID of the request; a caller that repeats a request with the same key gets a new one.
     * @param digest SHA-256 of route and body.
     * @param handler gets the outcome.
     */
    void claim(const TeamId &team, const std::string &key, const RequestId &attempt, const std::string &digest,
               Handler handler);
    /** Records the answer; a body of more than 2048 bytes isn't stored. */
    void recordAnswer(const TeamId &team, const std::string &key, const RequestId &attempt, int status,
                      const std::string &body);
    /** Records that the outcome is unknown. */
    void recordUnknown(const TeamId &team, const std::string &key, const RequestId &attempt);
    /** Removes the claim of a request that was not executed. */
    void release(const TeamId &team, const std::string &key, const RequestId &attempt);

    /** Expires overdue changes and retries pending ones. */
    void tick();
    /** @return the number of pending changes, plus one for each object with a call in flight. */
    size_t pendingCount() const;

private:
    enum class Action
    {
        Claim,
        Answer,
        Unknown,
        Release,
    };
    /** A change to a claim that is not written yet. */
    struct Change
    {
        Action action = Action::Claim;
        std::string key; ///< Team and idempotency key, as "team/key".
        RequestId attempt;
        std::string digest;
        int status = 0;
        std::string body;
        Handler handler;
        Millis expiresAt;
    };
    /** One of the objects, as last read or written, and its pending changes. */
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
    /** Reads or writes the object if changes are pending and no call is in flight. */
    void process(size_t index);
    void read(size_t index);
    void write(size_t index);
    void onWritten(size_t index, const ObjectReply &reply, const std::string &value, std::vector<Change> batch,
                   std::vector<Outcome> outcomes);
    /** Applies a change to the parsed object; the outcome is only meaningful for Action::Claim. */
    Outcome apply(nlohmann::json &claims, const Change &change) const;
    Outcome applyClaim(nlohmann::json &claims, const Change &change) const;
    void dropExpired(nlohmann::json &claims) const;
    /** Drops overdue changes; overdue claims end as Unavailable and are released later. */
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
