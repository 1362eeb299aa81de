#include "serving/flow.h"

#include "serving/admission.h"

#include <algorithm>

namespace vanillaspar::serving
{

namespace
{

constexpr Millis defaultPatience(10000); // of a caller that names no deadline
// One that waits for longer than was expected is given up after this part of its objective: its caller may still come
// back in time for a late answer.
constexpr double givingUpPart = 1.5;
constexpr Millis shortestWait(200); // for routes whose objective is shorter than a replica's hiccup

}

std::unique_ptr<Flow> makeFlow(ClientRequest request, const Admitted &admitted)
{
    auto flow = std::make_unique<Flow>();
    flow->request = std::move(request);
    flow->route = admitted.route->name;
    flow->config = admitted.config;
    flow->kind = admitted.route->kind;
    flow->isPublic = admitted.route->isPublic;
    flow->isResumable = admitted.route->kind == RequestKind::Stream && admitted.route->isResumable;
    flow->maxReplicas = admitted.route->maxReplicas;
    flow->priority = admitted.priority;
    flow->pool = admitted.pool->id;
    flow->isEngine = admitted.pool->engine.has_value();
    if (admitted.team != nullptr) {
        flow->team = admitted.team->id;
    }
    flow->cost = admitted.cost;
    flow->tokens = flow->request.tokens.value_or(Tokens(0)).value;
    const Millis receivedAt = flow->request.receivedAt;
    flow->objective = std::max(admitted.route->objective, shortestWait);
    flow->objectiveAt = receivedAt + admitted.route->objective;
    flow->endAt = receivedAt + std::min(flow->request.patience.value_or(defaultPatience), admitted.route->timeout);
    flow->giveUpAt = std::min(receivedAt + flow->objective * givingUpPart, flow->endAt);
    return flow;
}

}
