#pragma once

#include "core/ids.h"
#include "core/units.h"
#include "serving/replicachoice.h"

namespace vanillaspar::serving
{

class BackendTable;
struct ActiveRequest;

/** Chooses a replica of a plain service: the least loaded, the nearer one if they are about even. */
class ServiceChooser
{
public:
    ServiceChooser(BackendTable &backends, DomainId domain);

    ReplicaChoice choose(const ActiveRequest &active, Millis now);

private:
    BackendTable &m_backends;
    DomainId m_domain;
};

}
