#include "policy/urgencymix.h"

namespace vanillaspar
{

namespace
{

constexpr double keptWeight = 0.99; // of older requests, for each new one

}

void UrgencyMix::add(int priority, double tokens)
{
    for (auto &[known, sum] : m_tokens) {
        sum *= keptWeight;
    }
    m_tokens[priority] += tokens;
}

double UrgencyMix::fractionUpTo(int priority) const
{
    double ahead = 0;
    double all = 0;
    for (const auto &[known, sum] : m_tokens) {
        ahead += known <= priority ? sum : 0;
        all += sum;
    }
    return all > 0 ? ahead / all : 1;
}

}
