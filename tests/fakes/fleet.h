#pragma once

#include "backend/backendcall.h"
#include "backend/backendlink.h"
#include "cluster/peerlink.h"
#include "config/document.h"
#include "core/eventlog.h"
#include "core/random.h"
#include "node/callerlink.h"
#include "node/metricsink.h"
#include "node/node.h"
#include "node/requestoutcome.h"
#include "objects/objectapi.h"
#include "tests/fakes/account.h"
#include "tests/fakes/virtualclock.h"
#include "tests/standins/enginemodel.h"
#include "tests/standins/objecttable.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace vanillaspar
{

class Fleet;

/** What a pending message is. */
enum class StepKind
{
    PlatformCall,
    PlatformReply,
    PeerMessage,
    BackendCall,
    BackendEvent,
    CallerRequest,
    Other, ///< Ticks and the like; not a step of a scenario.
};

/** One thing that is going to happen. */
struct PendingStep
{
    Millis at;
    uint64_t order = 0;
    StepKind kind = StepKind::Other;
    size_t host = 0; ///< The node that sends or receives it.
    std::optional<BackendCall> call; ///< Of a StepKind::BackendCall.
    std::function<void()> deliver;
    std::function<void()> deliverWithoutReply; ///< Takes effect, but its answer is lost.
    std::function<void()> lose; ///< What a loss looks like to the sender.
};

/** One entry host: a node and its ports, which put everything on the fleet's list. */
class FakeHost : public ObjectApi,
                 public PeerLink,
                 public BackendLink,
                 public CallerLink,
                 public EventLog,
                 public MetricSink
{
public:
    FakeHost(Fleet &fleet, size_t index);

    void submit(const ObjectCall &call) override;
    void send(const std::string &address, const Message &message) override;
    void submit(const BackendCall &call) override;
    void cancel(uint64_t call) override;
    void sendPiece(uint64_t caller, const std::string &text) override;
    void finish(uint64_t caller, Tokens used) override;
    void refuse(uint64_t caller, const Refusal &refusal) override;
    void sendAnswer(uint64_t caller, int status, const std::string &body) override;
    void record(EventCode code, const std::string &subject, const std::string &detail) override;
    void record(const RequestOutcome &outcome) override;

    Fleet &fleet;
    size_t index;
    std::unique_ptr<Node> node;
    uint64_t life = 0; ///< Changes with every start, so that old steps are told.
    bool isLost = false; ///< Gone without refusing connections.
    Millis pausedUntil {-1};
    Millis platformCutUntil {-1};
    Millis peersCutUntil {-1}; ///< Nothing that it sends to peers arrives.
    Millis peersDeafUntil {-1}; ///< Nothing that peers send to it arrives.
    Millis staleUntil {-1}; ///< Reads from the platform are old.
    uint64_t bytesSent = 0;
    uint64_t messagesSent = 0;
    uint64_t platformCalls = 0;
    std::map<EventCode, int> events;
};

/** A stand-in engine or service with its calls. */
struct FakeReplica
{
    Replica replica;
    EngineModel engine {8, false, ""};
    Millis downUntil {-1};
    int failLoads = 0;
    uint64_t life = 0;
    int64_t inFlight = 0;
    int64_t loads = 0;
};

/** Sizes and times of a fleet of fakes. */
struct FleetOptions
{
    size_t hosts = 3;
    int domains = 3;
    Millis tick {50};
    Millis peerLatency {2};
    Millis platformLatency {3};
    Millis backendLatency {1};
    Millis pieceTime {20};
    Millis loadTime {250};
    int64_t freeLoads = 25; ///< Requests in flight up to which a load takes loadTime.
    uint64_t seed = 1;
    NodeSettings settings;
    NodePolicies policies;
    bool countsBytes = false;
    std::function<void(const RequestOutcome &)> onOutcome;
};

/** Node cores, in-memory fakes and one list of pending steps, in virtual time. */
class Fleet
{
public:
    Fleet(FleetOptions options, Document document);
    ~Fleet();

    /** Starts every host and runs until all are ready. */
    void start();
    void startHost(size_t index);
    /** Runs what is pending up to a time. */
    void runUntil(Millis until);
    void runFor(Millis duration);

    /** Sends a request. @return the caller's number. */
    uint64_t request(size_t host, const std::string &secret, const std::string &target, const std::string &payload,
                     Tokens maxTokens, bool isService = false, const std::string &idempotencyKey = {},
                     Millis deadline = Millis(0));

    void crash(size_t host, bool isRefusing);
    void pause(size_t host, Millis duration);
    /** Asks a host to shut down gracefully; a paused one hears of it when it goes on. */
    void terminate(size_t host);
    /** Writes a document as an operator does. @return whether it was accepted. */
    bool accept(const Document &document, int64_t basedOn);
    void withdrawKey(const std::string &secret);
    void setLeaving(const std::vector<ReplicaId> &leaving);
    void restartReplica(const ReplicaId &replica);

    /** Puts a step on the list. */
    void add(Millis at, StepKind kind, size_t host, std::function<void()> deliver,
             std::function<void()> withoutReply = {}, std::function<void()> lose = {},
             std::optional<BackendCall> call = {});
    void at(Millis time, std::function<void()> action);
    /** Called for each step of a scenario before it happens; true means that it was dealt with. */
    std::function<bool(PendingStep &)> onStep;

    /** @return the end of the last outage or slowness of the platform. */
    Millis platformReadableAt() const
    {
        return std::max(platformDownUntil, platformSlowUntil);
    }

    /** Alter what passes, to break a mechanism on purpose; empty in ordinary runs. */
    std::function<void(const ObjectCall &, ObjectReply &)> alterReply;
    std::function<void(BackendCall &)> alterCall;
    std::function<void(BackendEvent &)> alterEvent;
    bool isConfigFrozen = false; ///< No host hears of a new configuration.
    bool isDrainSkipped = false; ///< A graceful shutdown ends the process at once.
    bool isAnswerSwallowed = false; ///< Callers never see the end of an answer.
    /** Answers the watches of an object that has changed. */
    void wakeWatches(const std::string &path);

    // What follows is for the fakes themselves.
    void carryOut(size_t host, const ObjectCall &call, bool isReplyLost);
    void deliverPeer(size_t from, const std::string &address, const Message &message);
    void startCall(size_t host, uint64_t life, const BackendCall &call, bool isReplyLost);
    void event(size_t host, uint64_t life, const BackendCall &call, Millis after, decltype(BackendEvent::what) what);
    size_t hostAt(const std::string &address) const;
    bool isAlive(size_t host) const
    {
        return hosts[host]->node != nullptr;
    }

    FleetOptions options;
    Document document;
    int64_t documentVersion = 0;
    VirtualClock clock;
    Random random;
    ObjectTable platform;
    ObjectTable oldPlatform; ///< What a stale read sees.
    Millis platformDownUntil {-1};
    Millis platformSlowUntil {-1};
    std::vector<std::unique_ptr<FakeHost>> hosts;
    std::map<ReplicaId, FakeReplica> replicas;
    std::set<std::pair<size_t, uint64_t>> cancelled;
    std::map<std::tuple<size_t, uint64_t, uint64_t>, Millis>
        calls; ///< When requests were sent, by host, life and call.
    Account account;
    uint64_t platformWrites = 0;
    uint64_t platformReads = 0;
    uint64_t loadsStarted = 0;
    uint64_t nextCaller = 1;

private:
    struct Later
    {
        bool operator()(const PendingStep &a, const PendingStep &b) const
        {
            return a.at != b.at ? a.at > b.at : a.order > b.order;
        }
    };

    struct Watch
    {
        size_t host;
        uint64_t life;
        ObjectCall call;
    };

    Millis sentAt(size_t host, uint64_t life, uint64_t call);
    void tickHost(size_t host, uint64_t life);
    void reply(size_t host, uint64_t life, const ObjectCall &call, ObjectReply reply, bool isLost);
    void pushToHosts(const ConfigResponse &offer);
    void generate(size_t host, uint64_t life, const BackendCall &call, const GenerateCall &work, bool isReplyLost);
    void order(size_t host, uint64_t life, const BackendCall &call, const OrderCall &work, bool isReplyLost);
    void callService(size_t host, uint64_t life, const BackendCall &call, const ServiceCall &work, bool isReplyLost);
    void pieces(size_t host, uint64_t life, const BackendCall &call, const GenerateCall &work, uint64_t next,
                uint64_t replicaLife, bool isReplyLost);

    std::priority_queue<PendingStep, std::vector<PendingStep>, Later> m_pending;
    std::vector<Watch> m_watches;
    uint64_t m_order = 0;
};

}
