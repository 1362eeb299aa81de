#include "serving/placement/servicechooser.h"

#include "core/random.h"
#include "serving/placement/replicalatencies.h"
#include "serving/queueing/activerequest.h"
#include "serving/replicas/backendtable.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace vanillaspar::serving
{

namespace
{

// A plain service queues a few requests itself; further ones wait on this host, where any replica can still be chosen.
constexpr double maxQueuePerSlot = 2.0; // requests per slot
// Failures weigh as for engines. An avoided replica is chosen only if there is no other.
constexpr ReplicaPenalties penalties {0.1, 2.0, 100.0};
// Part of its own work for which a request that is late anyhow may wait for others at its replica.
constexpr double lateQueueFraction = 0.15;
// Part of the choice that is random even if reports are fresh, so that hosts with the same view differ.
constexpr double minStaleness = 0.1;
// A quarter of the logarithm of an exponential variable makes the probability fall with the fourth power of the
// expected time: a server that is 2.5 times as slow keeps about a hundredth of the work of four, by which its recovery
// is noticed.
constexpr double drawWeight = 0.25;
// Preference for replicas with free slots, as far as the reports are recent. It evens out the hosts' random choices.
constexpr double loadWeight = 4;
constexpr double minDraw = 1e-9; // keeps the logarithm finite

}

ServiceChooser::ServiceChooser(BackendTable &backends, DomainId domain, ReplicaLatencies *latencies, Random *random)
    : m_backends(backends), m_domain(std::move(domain)), m_latencies(latencies), m_random(random)
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
    const bool usesLatencies = m_latencies != nullptr && m_latencies->isEnabled();
    if (usesLatencies) {
        m_latencies->update(active.pool, usable, now);
    }
    choice.pausedUntil = removePaused(usable, now);
    const Selection selection
        = usesLatencies ? chooseByLatency(active, usable, now) : chooseBySlots(active, usable, now);
    choice.backend = selection.state;
    selection.blocked.request(m_backends.startLimit(), active.request.exchange, choice, selection.score, now);
    return choice;
}

ServiceChooser::Selection ServiceChooser::chooseBySlots(const ActiveRequest &active,
                                                        const std::vector<BackendState *> &usable, Millis now) const
{
    Selection selection;
    for (BackendState *state : usable) {
        const double load = state->slotLoad();
        if (load >= 1 + maxQueuePerSlot || active.excluded.count(state->info.id) > 0) {
            continue;
        }
        consider(selection, *state, penalties.score(load, *state, m_domain, now), now);
    }
    return selection;
}

ServiceChooser::Selection ServiceChooser::chooseByLatency(const ActiveRequest &active,
                                                          const std::vector<BackendState *> &usable, Millis now)
{
    const double expected = m_latencies->expected(active) * m_latencies->level(active.pool);
    const double mean = std::max(m_latencies->meanLatency(active.pool), 1.0);
    const double staleness
        = std::max(minStaleness, 1 - std::exp(-static_cast<double>(m_backends.reportAge().value) / mean));
    double peerRunning = 0;
    double capacity = 0;
    for (const BackendState *state : usable) {
        peerRunning += static_cast<double>(state->peers.running);
        capacity += static_cast<double>(state->info.slots) / m_latencies->factor(*state);
    }
    const auto untilLate = static_cast<double>((active.lateAfter - now).value);
    Selection selection;
    for (BackendState *state : usable) {
        if (active.excluded.count(state->info.id) > 0) {
            continue;
        }
        const double factor = m_latencies->factor(*state);
        const double slots = static_cast<double>(std::max<int64_t>(state->info.slots, 1));
        // Most of what was reported has ended meanwhile. The same amount of work is assumed, divided by capacity.
        const double peers = (1 - staleness) * static_cast<double>(state->peers.running)
            + staleness * peerRunning * slots / factor / std::max(capacity, 1.0);
        const double running
            = static_cast<double>(state->own.running) + peers + m_latencies->unreportedRequests(*state, now);
        const double queue = std::max(1.0, (running + 1) / slots);
        const double own = expected * factor;
        if (running >= slots * (1 + maxQueuePerSlot)
            || (queue > 1 && own * queue > std::max(untilLate, own * (1 + lateQueueFraction)))) {
            continue;
        }
        const double draw = std::log(std::max(-std::log(1 - m_random->unit()), minDraw));
        const double cost = std::log(factor * queue) + loadWeight * (1 - staleness) * running / slots;
        const double score = penalties.score(cost, *state, m_domain, now) + drawWeight * staleness * draw;
        consider(selection, *state, score, now);
    }
    return selection;
}

void ServiceChooser::consider(Selection &selection, BackendState &state, double score, Millis now) const
{
    if (isBlocked(m_backends.startLimit(), state, now)) {
        selection.blocked.offer(state, score);
    } else if (selection.state == nullptr || score < selection.score) {
        selection.state = &state;
        selection.score = score;
    }
}

}
