#include "core/refusal.h"

#include <array>
#include <utility>

namespace vanillaspar
{

namespace
{

struct CodeEntry
{
    RefusalCode code;
    std::string_view name;
    int status;
};

constexpr std::array<CodeEntry, 19> codeTable {{
    {RefusalCode::BadRequest, "bad_request", 400},
    {RefusalCode::Unauthenticated, "unauthenticated", 401},
    {RefusalCode::Forbidden, "forbidden", 403},
    {RefusalCode::UnknownModel, "unknown_model", 404},
    {RefusalCode::UnknownRoute, "unknown_route", 404},
    {RefusalCode::IdempotencyMismatch, "idempotency_mismatch", 422},
    {RefusalCode::InProgress, "in_progress", 409},
    {RefusalCode::OutcomeUnknown, "outcome_unknown", 502},
    {RefusalCode::OverRate, "over_rate", 429},
    {RefusalCode::ExceedsBurst, "exceeds_burst", 413},
    {RefusalCode::DeadlineTooShort, "deadline_too_short", 504},
    {RefusalCode::NoReplica, "no_replica", 503},
    {RefusalCode::LoadFailed, "load_failed", 503},
    {RefusalCode::PlatformUnavailable, "platform_unavailable", 503},
    {RefusalCode::Unconfirmed, "configuration_unconfirmed", 503},
    {RefusalCode::ShuttingDown, "shutting_down", 503},
    {RefusalCode::Overloaded, "overloaded", 503},
    {RefusalCode::BackendFailed, "backend_failed", 502},
    {RefusalCode::PromptBlocked, "prompt_blocked", 503},
}};

const CodeEntry &entryOf(RefusalCode code)
{
    return codeTable.at(static_cast<size_t>(code));
}

}

Refusal outcomeUnknown(std::string detail)
{
    return {RefusalCode::OutcomeUnknown, RunState::Unknown, Millis(0), std::move(detail)};
}

std::string_view refusalName(RefusalCode code)
{
    return entryOf(code).name;
}

int refusalStatus(RefusalCode code)
{
    return entryOf(code).status;
}

std::string_view runStateName(RunState state)
{
    switch (state) {
    case RunState::NotRun:
        return "not_run";
    case RunState::Ran:
        return "ran";
    case RunState::Unknown:
        break;
    }
    return "unknown";
}

}
