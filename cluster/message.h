#pragma once

#include "cluster/messages/fetch.h"
#include "cluster/messages/fleet.h"
#include "cluster/messages/ping.h"
#include "cluster/messages/pong.h"
#include "cluster/messages/quota.h"
#include "cluster/messages/work.h"

#include <variant>

namespace vanillaspar
{

/** Everything that nodes say to each other. New kinds go to the end: the index is on the wire. */
using Message = std::variant<Ping, Pong, WorkRequest, WorkCancel, WorkPiece, WorkEnd, TokenAsk, TokenGrant, TokenRefund,
                             ConfigAsk, ConfigOffer, ClusterAsk, ClusterOffer, RelayAsk, RelayAnswer, HostHeartbeat,
                             ResidencyBatch, AdapterAsk, AdapterUseBatch>;

}
