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

/** What a lost request may be followed by. */
enum class RequestKind
{
    Idempotent, ///< It may run any number of times.
    NonIdempotent, ///< It may run once.
    Stream, ///< It may run once, unless its route lets streams be resumed.
};

/** A part of a route's traffic. */
struct PoolShare
{
    PoolId pool;
    int64_t weight = 1;
};

/** Which pool answers which requests, and how. */
struct Route
{
    RouteName name;
    std::string host;
    std::string pathPrefix;
    RequestKind kind = RequestKind::NonIdempotent;
    Millis timeout; ///< After it the caller must have its final answer.
    Millis objective; ///< An answer (of a stream: its first event) is late after it.
    int priority = 0; ///< 0 is the most urgent.
    std::vector<PoolShare> pools;
    int maxReplicas = 1; ///< Replicas that one request may run on.
    bool isPublic = false; ///< Needs no key.
    bool isResumable = false;
};

/** One base model that an engine can hold. */
struct ModelSpec
{
    std::string name;
    double sizeMb = 0;
    double adapterSizeMb = 0;
    Millis loadTime;
};

/** What the engines of a pool can hold and run. */
struct EngineSpec
{
    int64_t slots = 1; ///< Requests in one batch.
    int64_t cacheTokens = 0; ///< Tokens of prompts and answers that fit at once.
    double weightsMb = 0;
    int64_t adapterSlots = 0;
    double loadsPerSecond = 0; ///< Base models that the weight store gives out, to all replicas together.
    std::vector<ModelSpec> models;
};

/** Replicas that can stand in for each other. */
struct Pool
{
    PoolId id;
    int64_t maxConnections = 0; ///< To one replica, from all hosts together.
    std::optional<EngineSpec> engine; ///< Absent for a plain service.
};

/** A customer and its share. */
struct Team
{
    TeamId id;
    std::optional<int> priority; ///< Goes before the route's.
    double rate = 0; ///< Tokens (or requests) a second; 0 sets no limit.
    double burst = 0;
    bool isCountedInTokens = false;
    double defaultTokens = 0; ///< What a request without a token count costs.
};

/** One accepted configuration, whole. */
struct ServingConfig
{
    ConfigVersion version;
    std::vector<Route> routes;
    std::map<PoolId, Pool> pools;
    std::vector<Team> teams;
    std::unordered_map<std::string, size_t> teamByKey; ///< Index into teams, by the caller's key.
    IngressLimits limits;

    /** @return whether callers need keys. */
    bool hasTeams() const
    {
        return !teams.empty();
    }
};

}
