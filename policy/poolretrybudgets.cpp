#include "policy/poolretrybudgets.h"

namespace vanillaspar
{

void PoolRetryBudgets::configure(double ratio, double allowance, Millis window)
{
    m_ratio = ratio;
    m_allowance = allowance;
    m_window = window;
    for (auto &[pool, budget] : m_budgets) {
        budget.configure(ratio, allowance, window);
    }
}

RetryBudget &PoolRetryBudgets::of(const PoolId &pool)
{
    const auto [entry, isNew] = m_budgets.try_emplace(pool);
    if (isNew) {
        entry->second.configure(m_ratio, m_allowance, m_window);
    }
    return entry->second;
}

}
