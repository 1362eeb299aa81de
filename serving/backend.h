#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace vanillaspar::serving
{

/** An adapter's place in an engine. */
struct EngineAdapter
{
    std::string weights; ///< "model/adapter".
    int64_t version = 0;
};

/** A base model in an engine. */
struct EngineModel
{
    std::string name;
    int64_t version = 0;
};

/** What an engine holds, as it says of itself. */
struct EngineResidency
{
    std::vector<EngineModel> models;
    std::vector<EngineAdapter> adapters;
    std::vector<EngineAdapter> pending; ///< On their way; they take places too.
    int64_t orderCount = 0; ///< Orders accepted since the start of this life.
    bool isBusy = false; ///< Whether a base model is being loaded or dropped.
    int64_t incarnation = 0; ///< Start of this life, in Unix milliseconds.
};

/** One backend server as service discovery tells of it. */
struct Backend
{
    ReplicaId id;
    PoolId pool;
    std::string address; ///< IP number and port.
    DomainId domain;
    int64_t slots = 1;
    bool isLeaving = false;
    EngineResidency residency;
};

}
