#include "serving/servicechooser.h"

#include "serving/activerequest.h"
#include "serving/backendtable.h"

namespace vanillaspar::serving
{

namespace
{

// A plain service queues a few requests itself; further ones wait on this host, where any replica can still be chosen.
constexpr double maxQueuePerSlot = 2.0; // requests per slot
// Failures weigh as for engines. An avoided replica is chosen only if there is no other.
constexpr ReplicaPenalties penalties {0.1, 2.0, 100.0};

}

ServiceChooser::ServiceChooser(BackendTable &backends, DomainId domain)
    : m_backends(backends), m_domain(std::move(domain))
{
}

ReplicaChoice ServiceChooser::choose(const ActiveRequest &active, Millis now)
{
    ReplicaChoice choice;
    choice.hasCandidates = false;
    double best = 0;
    for (BackendState *state : m_backends.usable(active.pool)) {
        if (active.mayHaveRunOn.count(state->info.id) > 0) {
            continue;
        }
        choice.hasCandidates = true;
        const double load = state->slotLoad();
        if (load >= 1 + maxQueuePerSlot || active.excluded.count(state->info.id) > 0) {
            continue;
        }
        const double value = penalties.score(load, *state, m_domain, now);
        if (choice.backend == nullptr || value < best) {
            choice.backend = state;
            best = value;
        }
    }
    return choice;
}

}
