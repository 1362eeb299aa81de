#pragma once

#include "config/adapter.h"
#include "config/apikey.h"
#include "config/replica.h"
#include "config/route.h"
#include "config/team.h"
#include "config/weightstorelimits.h"

#include <vector>

namespace vanillaspar
{

/** The configuration that operators write and that applies on all hosts. */
struct Document
{
    std::vector<Team> teams;
    std::vector<ApiKey> keys;
    std::vector<Adapter> adapters;
    std::vector<Replica> replicas;
    std::vector<Route> routes;
    WeightStoreLimits weightStore;

    bool operator==(const Document &) const = default;
};

}
