#pragma once

#include "core/units.h"

#include <string>
#include <string_view>

namespace vanillaspar
{

/** Why a request was refused. Each code has a stable name that callers may match. */
enum class RefusalCode
{
    BadRequest,
    Unauthenticated,
    Forbidden,
    UnknownModel,
    UnknownRoute,
    IdempotencyMismatch,
    InProgress,
    OutcomeUnknown,
    OverRate,
    ExceedsBurst,
    DeadlineTooShort,
    NoReplica,
    LoadFailed,
    PlatformUnavailable,
    Unconfirmed,
    ShuttingDown,
    Overloaded,
    BackendFailed,
    PromptBlocked,
};

/** Whether a refused request was executed, as far as is known. */
enum class RunState
{
    NotRun, ///< Not executed, and it will not be.
    Ran, ///< Executed completely.
    Unknown, ///< Possibly executed, partly or completely.
};

/** Refusal of a request as reported to the caller. */
struct Refusal
{
    RefusalCode code = RefusalCode::BadRequest;
    RunState runState = RunState::NotRun;
    Millis retryAfter; ///< When a retry may succeed; 0 if it won't.
    std::string detail; ///< Cause in words, such as the name that is unknown.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(code, runState, retryAfter, detail);
    }
};

/** @return a refusal of a request that may have been executed, for a cause in words. */
Refusal outcomeUnknown(std::string detail);

/** @return the stable name of @p code, such as "over_rate". */
std::string_view refusalName(RefusalCode code);

/** @return the HTTP status for @p code. */
int refusalStatus(RefusalCode code);

/** @return the stable name of @p state: "not_run", "ran" or "unknown". */
std::string_view runStateName(RunState state);

}
