#include "core/callerbudget.h"

#include <algorithm>
#include <limits>

namespace vanillaspar
{

namespace
{

constexpr size_t memoryPart = 4; // one of so many of a host's memory is for callers
constexpr size_t leastBytes = 24UL * 1024 * 1024;
constexpr size_t mostBytes = 256UL * 1024 * 1024;
constexpr size_t largestParts = 4; // the largest request that must be served fits so often
constexpr size_t smallRequest = 64UL * 1024; // bytes kept; above it a request counts as large
// Quarters of the budget: what one address may keep unfinished, and what large requests may keep while handled.
constexpr size_t quarters = 4;
constexpr size_t addressQuarters = 3;
constexpr size_t largeQuarters = 3;
constexpr int64_t leastWeight = 1000; // milliseconds, so that among callers that make progress the bytes decide

}

CallerBudget::CallerBudget(size_t bytes)
    : m_limit(bytes), m_unfinished(bytes / quarters * addressQuarters, std::numeric_limits<size_t>::max())
{
}

size_t CallerBudget::bytesForHost(size_t memory)
{
    return memory == 0 ? defaultBytes : std::clamp(memory / memoryPart, leastBytes, mostBytes);
}

void CallerBudget::setLimits(size_t bytes, size_t largestRequest)
{
    m_limit = std::max(bytes, largestRequest * largestParts);
    m_unfinished.setLimits(m_limit / quarters * addressQuarters, std::numeric_limits<size_t>::max());
}

void CallerBudget::update(uint64_t connection, const CallerShare &share)
{
    CallerShare &known = m_shares[connection];
    m_handled = m_handled - known.handled + share.handled;
    m_unfinished.update(known.address, m_unfinished.share(known.address) - known.unfinished);
    m_unfinished.update(share.address, m_unfinished.share(share.address) + share.unfinished);
    known = share;
}

void CallerBudget::erase(uint64_t connection)
{
    update(connection, {});
    m_shares.erase(connection);
}

bool CallerBudget::admits(size_t bytes) const
{
    return m_handled + bytes <= (bytes > smallRequest ? m_limit / quarters * largeQuarters : m_limit);
}

const CallerShare *CallerBudget::heaviest(Millis now, std::optional<uint64_t> address, uint64_t &connection) const
{
    const CallerShare *found = nullptr;
    double most = 0;
    for (const auto &[id, share] : m_shares) {
        if (share.unfinished == 0 || (address && *address != share.address)) {
            continue;
        }
        const int64_t stalled = std::max<int64_t>((now - share.progressAt).value, 0);
        const double weight = static_cast<double>(share.unfinished) * static_cast<double>(stalled + leastWeight);
        if (weight > most) {
            most = weight;
            found = &share;
            connection = id;
        }
    }
    return found;
}

std::optional<CallerExcess> CallerBudget::findExcess(Millis now) const
{
    const bool isTotal = total() > m_limit;
    const std::optional<uint64_t> address = m_unfinished.findExcess();
    if (!isTotal && !address) {
        return std::nullopt;
    }
    CallerExcess excess;
    excess.reason = isTotal ? CallerExcess::Reason::Total : CallerExcess::Reason::Address;
    const CallerShare *share = heaviest(now, isTotal ? std::nullopt : address, excess.connection);
    if (share == nullptr) {
        return std::nullopt;
    }
    excess.stalledFor = now - share->progressAt;
    return excess;
}

}
