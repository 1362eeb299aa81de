#include "policy/backoff.h"

#include <algorithm>

namespace vanillaspar
{

Millis backoffPause(Millis first, int failures, int mostDoublings)
{
    return first * (int64_t(1) << std::min(failures, mostDoublings));
}

}
