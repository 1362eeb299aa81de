#include "serving/loading/coldpermits.h"

#include "cluster/messages/limits.h"

#include <algorithm>

namespace vanillaspar::serving
{

ColdPermit ColdPermits::issue(const ColdPermitRequest &request, const ColdBudget &budget, Millis now)
{
    for (auto entry = m_issuedAt.begin(); entry != m_issuedAt.end();) {
        std::deque<Millis> &times = entry->second;
        while (!times.empty() && now - times.front() >= ColdBudget::permitWindow) {
            times.pop_front();
        }
        entry = times.empty() ? m_issuedAt.erase(entry) : std::next(entry);
    }
    std::deque<Millis> &times = m_issuedAt[request.replica];
    const int64_t left = std::max<int64_t>(budget.permits - static_cast<int64_t>(times.size()), 0);
    const int64_t granted = std::min<int64_t>(request.wanted, left);
    times.insert(times.end(), static_cast<size_t>(granted), now);
    m_issuedCount += granted;
    const Millis next = times.empty() ? now : times.front();
    const Millis retryIn = granted > 0 ? Millis(0) : next + ColdBudget::permitWindow - now;
    return {request.replica, request.number, static_cast<uint16_t>(granted), static_cast<uint32_t>(retryIn.value)};
}

}
