#pragma once

#include "cluster/messages/demand.h"
#include "cluster/messages/fetch.h"
#include "cluster/messages/fleet.h"
#include "cluster/messages/latency.h"
#include "cluster/messages/limits.h"
#include "cluster/messages/ping.h"
#include "cluster/messages/pong.h"
#include "cluster/messages/prompts.h"
#include "cluster/messages/quota.h"
#include "cluster/messages/records.h"
#include "cluster/messages/store.h"
#include "cluster/messages/work.h"

#include <variant>

namespace vanillaspar
{

/**
 * Any message between hosts.
 *
 * New alternatives are appended: the alternative's index is part of the wire format.
 */
using Message = std::variant<Ping, Pong, WorkRequest, WorkCancel, WorkPiece, WorkEnd, TokenRequest, TokenGrant,
                             TokenRefund, ConfigRequest, ConfigResponse, ClusterStateRequest, ClusterStateResponse,
                             RelayRequest, RelayResponse, HostHeartbeat, ResidencyReportBatch, AdapterRequest,
                             AdapterUseBatch, PromptReport, VersionProof, StoreProof, LatencyReport, DemandReport,
                             ColdReport, ColdPermitRequest, ColdPermit, EvacuationReport, RecordRequest, RecordAnswer>;

}
