#pragma once

#include "core/ids.h"
#include "core/units.h"
#include "policy/retrybudget.h"

#include <map>

namespace vanillaspar
{

/** The retry budgets of all pools on this host, under the same limits. */
class PoolRetryBudgets
{
public:
    /**
     * Sets the limits of every pool.
     *
     * @param ratio retries per request in a window.
     * @param allowance additional retries of each pool in a window, for this host.
     * @param window over which requests and retries are counted.
     */
    void configure(double ratio, double allowance, Millis window);
    /** @return the budget of a pool, which begins unused. */
    RetryBudget &of(const PoolId &pool);

private:
    std::map<PoolId, RetryBudget> m_budgets;
    double m_ratio = 0;
    double m_allowance = 0;
    Millis m_window {10000};
};

}
