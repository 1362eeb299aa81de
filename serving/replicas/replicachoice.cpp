#include "serving/replicas/replicachoice.h"

#include "serving/replicas/backendtable.h"

#include <algorithm>

namespace vanillaspar::serving
{

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

double ReplicaPenalties::score(double load, const BackendState &state, const DomainId &own, Millis now) const
{
    return load + state.failureRate * failure + (state.info.domain == own ? 0 : otherDomain)
        + (now < state.avoidUntil ? avoid : 0);
}

}
