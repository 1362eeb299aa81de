#include "serving/placement/servicechooser.h"

#include "serving/queueing/activerequest.h"
#include "serving/replicas/backendtable.h"

#include <algorithm>
#include <vector>

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
    std::vector<BackendState *> usable = m_backends.usable(active.pool);
    usable.erase(std::remove_if(usable.begin(), usable.end(),
                                [&](const BackendState *state) {
                                    return active.mayHaveRunOn.count(state->info.id) > 0;
                                }),
                 usable.end());
    ReplicaChoice choice;
    choice.hasCandidates = !usable.empty();
    choice.pausedUntil = removePaused(usable, now);
    double best = 0;
    BlockedReplica blocked;
    for (BackendState *state : usable) {
        const double load = state->slotLoad();
        if (load >= 1 + maxQueuePerSlot || active.excluded.count(state->info.id) > 0) {
            continue;
        }
        const double value = penalties.score(load, *state, m_domain, now);
        if (isBlocked(m_backends.startLimit(), *state, now)) {
            blocked.offer(*state, value);
            continue;
        }
        if (choice.backend == nullptr || value < best) {
            choice.backend = state;
            best = value;
        }
    }
    blocked.request(m_backends.startLimit(), active.request.exchange, choice, best, now);
    return choice;
}

}
