#pragma once

#include "net/httpupstream.h"

#include <string_view>

namespace vanillaspar
{
class Clock;
}

namespace vanillaspar::serving
{

class BackendTable;
class VersionGuard;
struct AttemptHead;
class EngineChooser;
class PromptGuard;
class ReplicaLatencies;
class RequestLog;
enum class AttemptOutcome;
struct ActiveRequest;
struct BackendState;

/** Tells whoever learns from attempts how they go: the load of replicas, the estimates of time, the guard of prompts.
 */
class AttemptTracker
{
public:
    /** @param latencies that learn from attempts at plain services and from events of streams; nullptr for none. */
    AttemptTracker(const Clock &clock, BackendTable &backends, EngineChooser &chooser, PromptGuard &prompts,
                   VersionGuard &versions, RequestLog &log, ReplicaLatencies *latencies = nullptr);

    /** The next attempt of a request is sent to a replica. */
    void onSending(ActiveRequest &active, const BackendState &backend);
    /** The attempt has no response yet; to be called regularly. */
    void onWaiting(ActiveRequest &active);
    /** The replica sent anything at all. */
    void onAlive(const ActiveRequest &active);
    /** The replica sent the start of a response that may be forwarded. */
    void onAnswered(ActiveRequest &active, const AttemptHead &head);
    /** The start of the response was forwarded. */
    void onForwarded(ActiveRequest &active, bool isSuccess);
    /** The head of the response says how the attempt will end; the rest is discarded. */
    void onOutcome(ActiveRequest &active, AttemptOutcome outcome);
    /** The replica sent a part of a response that is discarded. @return whether it is longer than worth reading. */
    bool onDiscarded(ActiveRequest &active, std::string_view data);
    /** @return whether a response that is discarded takes longer than worth waiting for. */
    bool isOutcomeOverdue(const ActiveRequest &active) const;
    /** The replica sent a part of the response. */
    void onBody(ActiveRequest &active, std::string_view data);
    /**
     * The attempt's exchange ended.
     *
     * @return how it ended for the request: a stream that ends inside an event has been broken off.
     */
    UpstreamEnd onEnded(ActiveRequest &active, UpstreamEnd how);
    /** The request left its replica, whether its attempt ended or was cancelled. */
    void onReleased(ActiveRequest &active);
    /** The caller got the whole response. */
    void onCompleted(const ActiveRequest &active);

private:
    const Clock &m_clock;
    BackendTable &m_backends;
    EngineChooser &m_chooser;
    PromptGuard &m_prompts;
    VersionGuard &m_versions;
    RequestLog &m_log;
    ReplicaLatencies *m_latencies;
};

}
