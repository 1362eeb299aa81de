#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace vanillaspar::serving
{

/** An adapter that occupies a slot of an engine. */
struct EngineAdapter
{
    std::string weights; ///< "model/adapter".
    int64_t version = 0;
};

/** A base model that is resident in an engine. */
struct EngineModel
{
    std::string name;
    int64_t version = 0;
};

/** The weights that are resident in an engine, as the engine reports them. */
struct EngineResidency
{
    std::vector<EngineModel> models;
    std::vector<EngineAdapter> adapters;
    std::vector<EngineAdapter> pending; ///< Adapters that are being loaded; they occupy slots too.
    int64_t orderCount = 0; ///< Load and unload orders accepted in this incarnation.
    bool isBusy = false; ///< Whether a base model is being loaded or unloaded.
    int64_t incarnation = 0; ///< Start time of the engine process, in Unix milliseconds.
};

/** A backend server as registered in service discovery. */
struct Backend
{
    ReplicaId id;
    PoolId pool;
    std::string address; ///< IP address and port.
    DomainId domain;
    int64_t slots = 1; ///< Requests that it executes concurrently.
    bool isLeaving = false; ///< Whether it is shutting down and takes no new requests.
    /** How long it is still cold, as of its entry; absent if the entry doesn't say. */
    std::optional<Millis> coldLeft;
    EngineResidency residency;
};

}
