#pragma once

#include "core/ids.h"
#include "core/units.h"

namespace vanillaspar::serving
{

class BackendTable;
struct BackendState;
struct Flow;

/** Where a request for a plain service can go now. */
struct ServiceChoice
{
    BackendState *backend = nullptr; ///< nullptr if no replica has room.
    bool isPossible = true; ///< Whether any replica of the pool may get work at all.
};

/** Chooses a replica of a plain service: the least loaded, the nearer one if they are about even. */
class ServiceChooser
{
public:
    ServiceChooser(BackendTable &backends, DomainId domain);

    ServiceChoice choose(const Flow &flow, Millis now);

private:
    BackendTable &m_backends;
    DomainId m_domain;
};

}
