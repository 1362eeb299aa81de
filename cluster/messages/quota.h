#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <cereal/types/string.hpp>

namespace vanillaspar
{

/** Asks a peer for tokens of a team. */
struct TokenRequest
{
    uint64_t requestId = 0; ///< Unique for the asking node.
    TeamId team;
    Tokens amount;
    Tokens minimum; ///< Less than that is of no use to the asker.
    Millis waited; ///< How long the asking request has waited.
    TeamId beneficiary; ///< Whose adapter is to be loaded, when the weight store's tokens are asked for.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(requestId, team, amount, minimum, waited, beneficiary);
    }
};

/** Hands tokens over; the sender has already deducted them. */
struct TokenGrant
{
    uint64_t requestId = 0;
    uint64_t transfer = 0; ///< Unique for the giving node.
    TeamId team;
    Tokens amount;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(requestId, transfer, team, amount);
    }
};

/** Gives back the part of a transfer that was not used. */
struct TokenRefund
{
    uint64_t transfer = 0;
    TeamId team;
    Tokens amount;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(transfer, team, amount);
    }
};

}
