#pragma once

#include "core/ids.h"
#include "core/units.h"
#include "policy/retrybudget.h"

#include <map>
#include <optional>

namespace vanillaspar
{

/** The retry budgets of all pools on this host, under the same limits. */
class PoolRetryBudgets
{
public:
    /** Sets this host's limits for every pool. The allowance is earned from the first call on. */
    void configure(const RetryLimits &limits, Millis now);
    /** @return the budget of a pool; empty of retries until configure() was called. */
    RetryBudget &of(const PoolId &pool, Millis now);

private:
    std::map<PoolId, RetryBudget> m_budgets;
    RetryLimits m_limits;
    std::optional<Millis> m_start; ///< When the limits were set first.
};

}
