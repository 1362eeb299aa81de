#include "serving/replicachoice.h"

#include "serving/backendtable.h"

namespace vanillaspar::serving
{

double ReplicaPenalties::score(double load, const BackendState &state, const DomainId &own, Millis now) const
{
    return load + state.failureRate * failure + (state.info.domain == own ? 0 : otherDomain)
        + (now < state.avoidUntil ? avoid : 0);
}

}
