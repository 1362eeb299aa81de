#include "serving/queueing/activerequest.h"

#include "core/hash.h"
#include "net/httphead.h"
#include "serving/admission/admission.h"
#include "serving/interfaces/attemptsender.h"

#include <algorithm>

namespace vanillaspar::serving
{

namespace
{

constexpr Millis defaultTimeout(10000); // if the request states no deadline
// A request that waits longer than estimated is refused after this multiple of its objective, so that its caller can
// still retry and get a late response.
constexpr double giveUpFraction = 1.5;
constexpr Millis minObjective(200); // for routes whose objective is shorter than a pause that replicas may make

// A replica that crashes on the start of an answer may still send the events of its first steps.
constexpr const char *eventStream = "text/event-stream";
constexpr int firstRedirect = 300;
constexpr int firstServerError = 500;
constexpr Millis startTime(400);
constexpr int64_t startEvents = 5;

std::string contentTypeOf(const HttpHead &head)
{
    const std::string *type = findHeader(head.headers, "content-type");
    return type == nullptr ? std::string() : *type;
}

}

AttemptOutcome reasonNotExecuted(const AttemptHead &head, bool isEngine)
{
    if (head.isWrongServer) {
        return AttemptOutcome::OtherServer;
    }
    return isEngine && head.isMisdirected ? AttemptOutcome::AdapterMissing : AttemptOutcome::NotExecuted;
}

bool ActiveRequest::hasProgressed(Millis now) const
{
    return attemptAnsweredAt.value >= 0 && now - attemptAnsweredAt >= startTime && progress.count() >= startEvents;
}

bool ActiveRequest::isCutShort() const
{
    const bool isEventStream = isResponding() && answerStatus < firstRedirect && answerType.rfind(eventStream, 0) == 0;
    // If only the end of the connection marks the end, a stream without any event was broken off before its first one.
    const bool isUnbegun = endsWithConnection && progress.count() == 0;
    return isEventStream && (progress.isInsideEvent() || isUnbegun);
}

void ActiveRequest::beginResponse(const HttpHead &head, Millis now)
{
    answeredAt = now;
    answerStatus = head.status;
    answerType = contentTypeOf(head);
}

double ActiveRequest::returnSpread() const
{
    constexpr uint64_t parts = 1024;
    return static_cast<double>(stableHash(request.id.text()) % parts) / static_cast<double>(parts);
}

bool ActiveRequest::withholdsFailure(const AttemptHead &head) const
{
    if (head.head.isSuccess()) {
        return false;
    }
    // The caller would repeat a request that may be executed once and has been.
    const bool isFalsePromise = head.promisesNotRun && !isRetryable();
    return isFalsePromise || (head.head.status >= firstServerError && mayRunElsewhere());
}

bool ActiveRequest::isContinuedBy(const HttpHead &head) const
{
    return head.status == answerStatus && contentTypeOf(head) == answerType;
}

Millis timeLimitOf(const ClientRequest &request, const Route &route)
{
    return std::min(request.callerTimeout.value_or(defaultTimeout), route.timeout);
}

std::unique_ptr<ActiveRequest> makeActiveRequest(ClientRequest request, const Admitted &admitted)
{
    auto active = std::make_unique<ActiveRequest>();
    active->request = std::move(request);
    active->route = admitted.route->name;
    active->config = admitted.config;
    active->kind = admitted.route->kind;
    active->isPublic = admitted.route->isPublic;
    active->isResumable = admitted.route->kind == RequestKind::Stream && admitted.route->isResumable;
    active->maxReplicas = admitted.route->maxReplicas;
    active->priority = admitted.priority;
    active->pool = admitted.pool->id;
    active->isEngine = admitted.pool->engine.has_value();
    if (admitted.team != nullptr) {
        active->team = admitted.team->id;
    }
    active->cost = admitted.cost;
    active->tokens = active->request.tokens.value_or(Tokens(0)).value;
    const Millis receivedAt = active->request.receivedAt;
    active->objective = std::max(admitted.route->objective, minObjective);
    active->lateAfter = receivedAt + admitted.route->objective;
    active->deadline = receivedAt + timeLimitOf(active->request, *admitted.route);
    active->waitDeadline = std::min(receivedAt + active->objective * giveUpFraction, active->deadline);
    return active;
}

}
