#pragma once

#include "core/stringid.h"

namespace vanillaspar
{

using HostId = StringId<struct HostIdKind>; ///< A host that runs this proxy.
using DomainId = StringId<struct DomainIdKind>; ///< A failure domain.
using TeamId = StringId<struct TeamIdKind>; ///< A customer whose callers share one rate limit.
using ReplicaId = StringId<struct ReplicaIdKind>; ///< A backend server.
using PoolId = StringId<struct PoolIdKind>; ///< Replicas that can stand in for each other.
using KeyId = StringId<struct KeyIdKind>; ///< The public name of a caller's key.
using RouteName
    = StringId<struct RouteNameKind>; ///< A name in requests that is configured for an adapter or a service.
using AdapterRef = StringId<struct AdapterRefKind>; ///< An adapter in one version, as "name@version".
using PromptPartId = StringId<struct PromptPartIdKind>; ///< A part of a prompt, which several requests may share.
using RequestId = StringId<struct RequestIdKind>; ///< A request, unique in the fleet.
using Incarnation = StringId<struct IncarnationKind>; ///< One run of a process, from its start to its end.

}
