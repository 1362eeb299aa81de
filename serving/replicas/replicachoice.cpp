#include "serving/replicas/replicachoice.h"

#include "serving/replicas/backendtable.h"
#include "serving/replicas/startlimit.h"

#include <algorithm>

namespace vanillaspar::serving
{

namespace
{

// A permit for a blocked replica is asked for while the best other one has this much more load, 1 being a full replica.
constexpr double blockedAdvantage = 0.5;

}

std::optional<Millis> removePaused(std::vector<BackendState *> &replicas, Millis now)
{
    std::optional<Millis> first;
    for (const BackendState *state : replicas) {
        if (state->pause.isActive(now)) {
            first = std::min(first.value_or(state->pause.end()), state->pause.end());
        }
    }
    replicas.erase(std::remove_if(replicas.begin(), replicas.end(),
                                  [now](const BackendState *state) {
                                      return state->pause.isActive(now);
                                  }),
                   replicas.end());
    return replicas.empty() ? first : std::nullopt;
}

bool isBlocked(const StartLimit *limit, const BackendState &state, Millis now)
{
    return limit != nullptr && limit->isBlocked(state, now);
}

void BlockedReplica::offer(const BackendState &state, double score)
{
    if (m_state == nullptr || score < m_score) {
        m_state = &state;
        m_score = score;
    }
}

void BlockedReplica::request(StartLimit *limit, uint64_t exchange, ReplicaChoice &choice, double score,
                             Millis now) const
{
    if (m_state == nullptr || (choice.backend != nullptr && m_score + blockedAdvantage > score)) {
        return;
    }
    limit->onWanted(*m_state, exchange);
    if (choice.backend == nullptr && choice.loadTarget == nullptr) {
        choice.pausedUntil = limit->nextStart(*m_state, now);
    }
}

double ReplicaPenalties::score(double load, const BackendState &state, const DomainId &own, Millis now) const
{
    return load + state.failureRate * failure + (state.info.domain == own ? 0 : otherDomain)
        + (now < state.avoidUntil ? avoid : 0);
}

}
