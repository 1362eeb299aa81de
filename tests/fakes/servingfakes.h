#pragma once

#include "cluster/peerlink.h"
#include "core/error.h"
#include "core/eventlog.h"
#include "core/refusal.h"
#include "serving/interfaces/attemptsender.h"
#include "serving/interfaces/clientrequest.h"
#include "serving/interfaces/orderport.h"
#include "serving/interfaces/requestmetrics.h"
#include "serving/interfaces/responsewriter.h"
#include "serving/interfaces/statestore.h"
#include "serving/servingnode.h"
#include "tests/fakes/virtualclock.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace vanillaspar::serving
{

/** Log that keeps its lines. */
class FakeLog : public EventLog
{
public:
    void record(EventCode code, const std::string &subject, const std::string &detail) override
    {
        lines.push_back({code, subject + ": " + detail});
    }
    int64_t count(EventCode code) const
    {
        return std::count_if(lines.begin(), lines.end(), [code](const auto &line) {
            return line.first == code;
        });
    }

    std::vector<std::pair<EventCode, std::string>> lines;
};

/** Metrics that are discarded, except for notices of replicas. */
class FakeMetrics : public RequestMetrics
{
public:
    void onServed(const ActiveRequest & /*active*/, Millis /*now*/) override
    {
    }
    void onRefused(RefusalCode /*code*/) override
    {
    }
    void onFailed(const ActiveRequest & /*active*/) override
    {
    }
    void onRetried(const ActiveRequest & /*active*/) override
    {
    }
    void onCallerLeft(const ActiveRequest & /*active*/) override
    {
    }
    void onReplicaPaused() override
    {
        ++pauses;
    }
    void onReplicaSaidLeaving() override
    {
        ++leavings;
    }

    int64_t pauses = 0;
    int64_t leavings = 0;
};

/** Callers that keep the answers they get. */
class FakeCallers : public ResponseWriter
{
public:
    struct Answer
    {
        std::optional<Refusal> refusal;
        int status = 0;
        bool hasLength = false; ///< Whether the body's length was declared.
        uint64_t length = 0; ///< Bytes of the body, if declared.
        std::string body;
        bool isFinished = false;
        bool isAborted = false;

        /** @return whether the caller takes what it got for a whole answer. */
        bool looksWhole() const
        {
            return isFinished || (status != 0 && hasLength && body.size() >= length);
        }
    };

    void refuse(uint64_t exchange, const Refusal &refusal) override
    {
        answers[exchange].refusal = refusal;
    }
    void startAnswer(uint64_t exchange, const HttpHead &head) override
    {
        answers[exchange].status = head.status;
        answers[exchange].hasLength = head.hasLength;
        answers[exchange].length = head.length;
    }
    void append(uint64_t exchange, std::string_view data) override
    {
        answers[exchange].body.append(data);
        if (onAppend) {
            onAppend(exchange);
        }
    }
    void finish(uint64_t exchange) override
    {
        answers[exchange].isFinished = true;
    }
    void abort(uint64_t exchange) override
    {
        answers[exchange].isAborted = true;
    }
    bool isQuiet() const override
    {
        return hasAllTaken;
    }

    bool hasAllTaken = true; ///< Whether no answer waits to be written.
    std::map<uint64_t, Answer> answers;
    std::function<void(uint64_t)> onAppend; ///< Called after a part of an answer was taken.
};

/** Attempts that are recorded; the test answers them. */
class FakeAttempts : public AttemptSender
{
public:
    struct Sent
    {
        uint64_t attempt = 0;
        ReplicaId replica;
        RequestId request;
        uint64_t exchange = 0;
        AttemptOptions options;
        bool isCancelled = false;
    };

    void send(uint64_t attempt, const Backend &backend, const ClientRequest &request,
              const AttemptOptions &options) override
    {
        sent.push_back({attempt, backend.id, request.id, request.exchange, options, false});
    }
    void cancel(uint64_t attempt) override
    {
        for (Sent &each : sent) {
            each.isCancelled = each.isCancelled || each.attempt == attempt;
        }
    }

    std::vector<Sent> sent;
};

/** Engines that record orders and requests for reports; the test answers them. */
class FakeOrders : public OrderPort
{
public:
    struct Order
    {
        ReplicaId replica;
        EngineOrder order;
        std::function<void(OrderResult)> handler;
    };

    void sendOrder(const Backend &backend, const EngineOrder &order, std::function<void(OrderResult)> handler) override
    {
        orders.push_back({backend.id, order, std::move(handler)});
    }
    void fetchReport(const Backend &backend, std::function<void(std::optional<EngineResidency>)> handler) override
    {
        ++reportCount;
        reports.emplace_back(backend.id, std::move(handler));
    }
    /** Answers the oldest open order. */
    void answer(OrderResult result)
    {
        const auto handler = std::move(orders.front().handler);
        orders.erase(orders.begin());
        handler(result);
    }
    void answerReport(const std::optional<EngineResidency> &residency)
    {
        const auto handler = std::move(reports.front().second);
        reports.erase(reports.begin());
        handler(residency);
    }

    std::vector<Order> orders;
    std::vector<std::pair<ReplicaId, std::function<void(std::optional<EngineResidency>)>>> reports;
    int reportCount = 0;
};

/** @return the position of a revision in the first era, or in the given one. */
inline StorePosition at(int64_t revision, int64_t era = 0)
{
    return {era, revision};
}

/** A store whose calls are answered by the test. */
class FakeStore : public StateStore
{
public:
    struct Read
    {
        uint64_t call = 0;
        Collection collection = Collection::Configuration;
        bool isWatch = false;
        StorePosition since;
        Millis wait;
        std::string after;
        ReadHandler handler;
    };
    struct Write
    {
        std::string name;
        nlohmann::json content;
        StorePosition expected;
        WriteHandler handler;
    };

    uint64_t list(Collection collection, const std::string &after, ReadHandler handler) override
    {
        reads.push_back({++calls, collection, false, {}, Millis(0), after, std::move(handler)});
        return calls;
    }
    uint64_t watch(Collection collection, StorePosition since, Millis wait, ReadHandler handler) override
    {
        reads.push_back({++calls, collection, true, since, wait, {}, std::move(handler)});
        return calls;
    }
    void write(Collection /*collection*/, const std::string &name, const nlohmann::json &content,
               StorePosition expected, WriteHandler handler) override
    {
        ++calls;
        writes.push_back({name, content, expected, std::move(handler)});
    }
    void remove(Collection /*collection*/, const std::string &name, StorePosition expected,
                WriteHandler handler) override
    {
        ++calls;
        writes.push_back({name, nullptr, expected, std::move(handler)});
    }
    void probe(Collection /*collection*/, const std::string & /*name*/, WriteHandler handler) override
    {
        probes.push_back(std::move(handler));
    }
    void cancel(uint64_t call) override
    {
        reads.erase(std::remove_if(reads.begin(), reads.end(),
                                   [call](const Read &read) {
                                       return read.call == call;
                                   }),
                    reads.end());
    }
    /** @return the open read of a collection, or nullptr. */
    Read *open(Collection collection)
    {
        for (Read &read : reads) {
            if (read.collection == collection) {
                return &read;
            }
        }
        return nullptr;
    }
    /** Answers the open read of a collection. */
    void answer(Collection collection, StoreRead answer)
    {
        Read *read = open(collection);
        if (read != nullptr) {
            const ReadHandler handler = std::move(read->handler);
            cancel(read->call);
            handler(std::move(answer));
        }
    }

    std::vector<Read> reads;
    std::vector<Write> writes;
    std::vector<WriteHandler> probes;
    uint64_t calls = 0;
};

/** Link that keeps the messages sent to other hosts. */
class FakePeers : public PeerLink
{
public:
    void send(const std::string &address, const Message &message) override
    {
        sent.emplace_back(address, message);
    }

    std::vector<std::pair<std::string, Message>> sent;
};

/** Decoder of records that hold an index into the prepared configurations and backends. */
class FakeDecoder : public RecordDecoder
{
public:
    std::shared_ptr<const ServingConfig> configuration(const StoredRecord &record) const override
    {
        if (record.content.is_null()) {
            throw DecodeError("no configuration");
        }
        return configs.at(record.content.get<size_t>());
    }
    Backend backend(const StoredRecord &record) const override
    {
        if (record.content.is_null()) {
            throw DecodeError("no backend");
        }
        return backends.at(record.content.get<size_t>());
    }
    std::pair<std::string, int64_t> adapterVersion(const StoredRecord &record) const override
    {
        return {record.name, record.content.get<int64_t>()};
    }

    std::vector<std::shared_ptr<const ServingConfig>> configs;
    std::vector<Backend> backends;
};

/** @return a configuration with one engine pool, one plain pool, one team and a route of each kind. */
inline ServingConfig makeConfig()
{
    ServingConfig config;
    config.version = ConfigVersion(1);
    EngineSpec engine;
    engine.slots = 4;
    engine.adapterSlots = 3;
    engine.loadsPerSecond = 5;
    engine.models.push_back({"m", 60000, 10, Millis(2000)});
    config.pools[PoolId("engines")] = {PoolId("engines"), 100, engine};
    config.pools[PoolId("desk")] = {PoolId("desk"), 100, std::nullopt};
    Route stream {RouteName("stream"),
                  "h",
                  "/s/",
                  RequestKind::Stream,
                  Millis(5000),
                  Millis(800),
                  1,
                  {{PoolId("engines"), 1}},
                  1,
                  false,
                  false};
    Route book {RouteName("book"),
                "h",
                "/b/",
                RequestKind::NonIdempotent,
                Millis(800),
                Millis(100),
                2,
                {{PoolId("desk"), 1}},
                1,
                false,
                false};
    Route look {RouteName("look"),
                "h",
                "/l/",
                RequestKind::Idempotent,
                Millis(800),
                Millis(100),
                2,
                {{PoolId("desk"), 1}},
                2,
                false,
                false};
    Route open {RouteName("open"),
                "h",
                "/o/",
                RequestKind::Idempotent,
                Millis(800),
                Millis(100),
                2,
                {{PoolId("desk"), 1}},
                2,
                true,
                false};
    Route resume = stream;
    resume.name = RouteName("resume");
    resume.pathPrefix = "/r/";
    resume.maxReplicas = 2;
    resume.isResumable = true;
    config.routes = {stream, book, look, open, resume};
    Team team;
    team.id = TeamId("house");
    config.teams = {team};
    config.teamByKey["key"] = 0;
    return config;
}

inline Backend makeBackend(const std::string &id, const std::string &pool, std::vector<EngineAdapter> adapters = {})
{
    Backend backend;
    backend.id = ReplicaId(id);
    backend.pool = PoolId(pool);
    backend.address = "10.0.0.1:80";
    backend.domain = DomainId("a");
    backend.slots = 4;
    backend.residency.models = {{"m", 1}};
    backend.residency.adapters = std::move(adapters);
    backend.residency.incarnation = 1;
    return backend;
}

inline ClientRequest makeRequest(uint64_t exchange, const std::string &target, const std::string &weights, Millis now)
{
    ClientRequest request;
    request.exchange = exchange;
    request.id = RequestId("r" + std::to_string(exchange));
    request.host = "h";
    request.method = "POST";
    request.target = target;
    request.key = "key";
    request.weights = weights;
    request.tokens = Tokens(100);
    request.promptTokens = Tokens(80);
    request.callerTimeout = Millis(5000);
    request.receivedAt = now;
    return request;
}

}
