#pragma once

#include "core/ids.h"
#include "core/units.h"
#include "net/ingresslimits.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace vanillaspar::serving
{

/** Decides whether a request may be sent again after its response was lost. */
enum class RequestKind
{
    Idempotent, ///< May be executed any number of times.
    NonIdempotent, ///< May be executed once.
    Stream, ///< May be executed once, unless its route allows streams to be resumed.
};

/** The share of a route's traffic that goes to one pool. */
struct PoolShare
{
    PoolId pool;
    int64_t weight = 1; ///< Relative to the sum over the pools of the route.
};

/** Assigns requests, by host and path, to pools and sets how they are handled. */
struct Route
{
    RouteName name;
    std::string host;
    std::string pathPrefix;
    RequestKind kind = RequestKind::NonIdempotent;
    Millis timeout; ///< Time from receipt within which the caller gets its final response.
    Millis objective; ///< Latency objective: the response (for a stream: its first event) is late after this time.
    int priority = 0; ///< 0 is the most urgent.
    std::vector<PoolShare> pools;
    int maxReplicas = 1; ///< Number of replicas that may execute one request.
    bool isPublic = false; ///< Requests need no API key.
    bool isResumable = false; ///< A broken stream may be continued at another replica.
};

/** A base model that an engine can load. */
struct ModelSpec
{
    std::string name;
    double sizeMb = 0;
    double adapterSizeMb = 0;
    Millis loadTime;
};

/** Capacity of each engine of a pool. */
struct EngineSpec
{
    int64_t slots = 1; ///< Requests that are batched together.
    int64_t cacheTokens = 0; ///< Prompt and output tokens that fit into the KV cache.
    double weightsMb = 0; ///< Memory for weights.
    int64_t adapterSlots = 0;
    double loadsPerSecond = 0; ///< Loads of base models that the weight store serves, over all replicas.
    std::vector<ModelSpec> models;
};

/** A set of interchangeable replicas. */
struct Pool
{
    PoolId id;
    int64_t maxConnections = 0; ///< Connections to one replica, over all hosts.
    std::optional<EngineSpec> engine; ///< Absent for a plain service.
    Millis coldStart {0}; ///< How long a replica is cold after its start.
    double coldPerSecond = 0; ///< Requests per second that a cold replica tolerates; 0 for no limit.
};

/** A customer with its API keys and its quota. */
struct Team
{
    TeamId id;
    std::optional<int> priority; ///< Overrides the priority of the route.
    double rate = 0; ///< Quota in tokens or requests per second; 0 for unlimited.
    double burst = 0; ///< Capacity of the token bucket, in the unit of the rate.
    bool isCountedInTokens = false; ///< Whether the quota counts tokens rather than requests.
    double defaultTokens = 0; ///< Cost of a request that states no token count.
};

/** One complete, validated configuration. */
struct ServingConfig
{
    ConfigVersion version;
    std::vector<Route> routes;
    std::map<PoolId, Pool> pools;
    std::vector<Team> teams;
    std::unordered_map<std::string, size_t> teamByKey; ///< Index into teams by API key.
    IngressLimits limits;

    /** @return whether callers need API keys, except on public routes. */
    bool hasTeams() const
    {
        return !teams.empty();
    }
};

}
