#pragma once

#include "core/ids.h"
#include "core/units.h"
#include "serving/replicas/replicachoice.h"

namespace vanillaspar::serving
{

class BackendTable;
struct ActiveRequest;

/** Chooses a replica of a plain service by load, preferring the own failure domain at about equal load. */
class ServiceChooser
{
public:
    /** @param domain failure domain of this host. */
    ServiceChooser(BackendTable &backends, DomainId domain);

    /** @return the replica to send the request to, if one has capacity. */
    ReplicaChoice choose(const ActiveRequest &active, Millis now);

private:
    BackendTable &m_backends;
    DomainId m_domain;
};

}
