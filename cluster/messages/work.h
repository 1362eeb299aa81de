#pragma once

#include "core/ids.h"
#include "core/refusal.h"
#include "core/units.h"

#include <cereal/types/string.hpp>
#include <string>

namespace vanillaspar
{

/** A request on its way from the entry host to the owner of a replica. */
struct WorkRequest
{
    RequestId request;
    uint32_t attempt = 0;
    ReplicaId replica;
    TeamId team;
    KeyId key; ///< Empty on an open route.
    AdapterRef adapter;
    std::string prompt;
    Tokens maxTokens;
    Tokens cost; ///< Estimated prompt and output.
    uint64_t resumeFrom = 0; ///< Pieces that the caller has already got.
    bool isInteractive = true;
    Millis timeLeft; ///< Until the caller's deadline.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(request, attempt, replica, team, key, adapter, prompt, maxTokens, cost, resumeFrom, isInteractive,
                timeLeft);
    }
};

/** The caller went away; the owner may stop the work. */
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

/** One piece of an answer. */
struct WorkPiece
{
    RequestId request;
    uint32_t attempt = 0;
    AdapterRef adapter; ///< As the engine named it.
    uint64_t index = 0; ///< Counts from 0 over the whole answer.
    std::string text;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(request, attempt, adapter, index, text);
    }
};

/** The end of an attempt. */
struct WorkEnd
{
    enum class Result
    {
        Complete, ///< The answer has @c pieces pieces.
        NotExecuted, ///< Not run here; another replica may run it.
        Broken, ///< Lost while it ran.
        Refused, ///< Not run, and a retry won't help.
    };

    RequestId request;
    uint32_t attempt = 0;
    Result result = Result::Broken;
    uint64_t pieces = 0;
    Tokens used;
    Millis loadWait; ///< Time it waited for its adapter to be loaded.
    RefusalCode code = RefusalCode::BackendFailed;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(request, attempt, result, pieces, used, loadWait, code);
    }
};

}
