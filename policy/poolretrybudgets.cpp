#include "policy/poolretrybudgets.h"

namespace vanillaspar
{

void PoolRetryBudgets::configure(const RetryLimits &limits, Millis now)
{
    m_limits = limits;
    m_start = m_start.value_or(now);
    for (auto &[pool, budget] : m_budgets) {
        budget.configure(limits, now);
    }
}

RetryBudget &PoolRetryBudgets::of(const PoolId &pool, Millis now)
{
    const auto [entry, isNew] = m_budgets.try_emplace(pool, m_start.value_or(now));
    if (isNew) {
        entry->second.configure(m_limits, m_start.value_or(now));
    }
    return entry->second;
}

}
