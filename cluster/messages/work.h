#pragma once

#include "core/ids.h"
#include "core/refusal.h"
#include "core/units.h"

#include <cereal/types/string.hpp>
#include <string>

namespace vanillaspar
{

/** A request that the entry host forwards to the owner of a replica. */
struct WorkRequest
{
    RequestId request;
    uint32_t attempt = 0; ///< Number of this attempt to send the request to a replica.
    ReplicaId replica;
    TeamId team;
    KeyId key; ///< Empty on an open route.
    AdapterRef adapter;
    std::string prompt;
    Tokens maxTokens;
    Tokens cost; ///< Estimated tokens of prompt and output.
    uint64_t resumeFrom = 0; ///< Number of pieces that the caller already has; the answer continues after them.
    bool isInteractive = true;
    Millis timeLeft; ///< Until the caller's deadline.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(request, attempt, replica, team, key, adapter, prompt, maxTokens, cost, resumeFrom, isInteractive,
                timeLeft);
    }
};

/** Tells the owner that the caller disconnected, so that it may stop the attempt. */
struct WorkCancel
{
    RequestId request;
    uint32_t attempt = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(request, attempt);
    }
};

/** One piece of a streamed answer. */
struct WorkPiece
{
    RequestId request;
    uint32_t attempt = 0;
    AdapterRef adapter; ///< As reported by the engine.
    uint64_t index = 0; ///< Position in the whole answer, from 0, also across attempts.
    std::string text;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(request, attempt, adapter, index, text);
    }
};

/** The outcome of an attempt. */
struct WorkEnd
{
    enum class Result
    {
        Complete, ///< The answer has @c pieces pieces.
        NotExecuted, ///< Another replica may execute it.
        Broken, ///< Interrupted while it was executed.
        Refused, ///< Not executed, and a retry won't help.
    };

    RequestId request;
    uint32_t attempt = 0;
    Result result = Result::Broken;
    uint64_t pieces = 0; ///< Length of the whole answer if complete.
    Tokens used; ///< Actual tokens of prompt and output.
    Millis loadWait; ///< How long it waited for its adapter to be loaded.
    RefusalCode code = RefusalCode::BackendFailed; ///< Reason, unless complete.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(request, attempt, result, pieces, used, loadWait, code);
    }
};

}
