#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <cereal/types/string.hpp>

namespace vanillaspar
{

/** Requests tokens of a team's bucket from a peer. */
struct TokenRequest
{
    uint64_t requestId = 0; ///< Unique among the requests of the sender.
    TeamId team;
    Tokens amount; ///< Tokens wanted.
    Tokens minimum; ///< A smaller grant is of no use to the sender.
    Millis waited; ///< How long the client request behind it has waited.
    TeamId beneficiary; ///< The team whose adapter is to be loaded, if @c team is the pseudo team of the weight store.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(requestId, team, amount, minimum, waited, beneficiary);
    }
};

/** Transfers tokens to the sender of a TokenRequest. They are already deducted from the bucket of the granting host. */
struct TokenGrant
{
    uint64_t requestId = 0; ///< Of the TokenRequest.
    uint64_t transfer = 0; ///< Unique among the transfers of the granting host.
    TeamId team;
    Tokens amount;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(requestId, transfer, team, amount);
    }
};

/** Refunds the unused part of a transfer to the granting host. */
struct TokenRefund
{
    uint64_t transfer = 0; ///< Of the TokenGrant.
    TeamId team;
    Tokens amount;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(transfer, team, amount);
    }
};

}
