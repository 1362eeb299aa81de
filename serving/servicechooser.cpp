#include "serving/servicechooser.h"

#include "serving/backendtable.h"
#include "serving/enginechooser.h"
#include "serving/flow.h"

namespace vanillaspar::serving
{

namespace
{

// A plain service queues a few requests itself; beyond that they wait here, where they can still go elsewhere.
constexpr double serviceQueue = 2.0; // requests for each slot
constexpr double farPenalty = 0.1; // bytes between failure domains are priced
constexpr double failurePenalty = 2.0; // a replica that fails a tenth of its requests counts as a fifth fuller
constexpr double avoidPenalty = 100.0; // only if there is no other

}

ServiceChooser::ServiceChooser(BackendTable &backends, DomainId domain)
    : m_backends(backends), m_domain(std::move(domain))
{
}

ServiceChoice ServiceChooser::choose(const Flow &flow, Millis now)
{
    ServiceChoice choice;
    choice.isPossible = false;
    double best = 0;
    for (BackendState *state : m_backends.usable(flow.pool)) {
        if (flow.ranOn.count(state->info.id) > 0) {
            continue;
        }
        choice.isPossible = true;
        const double load = EngineChooser::loadOf(*state, nullptr);
        if (load >= 1 + serviceQueue || flow.avoided.count(state->info.id) > 0) {
            continue;
        }
        const double value = load + state->failureRate * failurePenalty
            + (state->info.domain == m_domain ? 0 : farPenalty) + (now < state->avoidUntil ? avoidPenalty : 0);
        if (choice.backend == nullptr || value < best) {
            choice.backend = state;
            best = value;
        }
    }
    return choice;
}

}
