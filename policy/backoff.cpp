#include "policy/backoff.h"

#include <algorithm>

namespace vanillaspar
{

Millis backoffDelay(Millis first, int failures, int maxDoublings)
{
    return first * (int64_t(1) << std::min(failures, maxDoublings));
}

}
