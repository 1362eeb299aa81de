#pragma once

#include "core/ids.h"
#include "core/units.h"
#include "serving/replicachoice.h"

namespace vanillaspar::serving
{

class BackendTable;
struct Flow;

/** Chooses a replica of a plain service: the least loaded, the nearer one if they are about even. */
class ServiceChooser
{
public:
    ServiceChooser(BackendTable &backends, DomainId domain);

    ReplicaChoice choose(const Flow &flow, Millis now);

private:
    BackendTable &m_backends;
    DomainId m_domain;
};

}
