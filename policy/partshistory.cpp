#include "policy/partshistory.h"

#include "policy/requestfingerprint.h"

#include <algorithm>
#include <vector>

namespace vanillaspar
{

namespace
{

constexpr size_t maxParts = 1024;
constexpr int64_t meaningfulCount = 1000;

}

const PartsHistory::LastBegun &PartsHistory::lastBegunOf(const PromptPartId &part) const
{
    return isRequestFingerprint(part) ? m_requests : m_parts;
}

void PartsHistory::onProgressed(const PromptPartId &part, Millis begunAt)
{
    const bool isRequest = isRequestFingerprint(part);
    LastBegun &lastBegun = isRequest ? m_requests : m_parts;
    Millis &last = lastBegun.try_emplace(part, begunAt).first->second;
    last = std::max(last, begunAt);
    m_count += isRequest ? 0 : 1;
    if (lastBegun.size() > maxParts) {
        dropOldest(lastBegun);
    }
}

bool PartsHistory::hasProgressedSince(const PromptPartId &part, Millis since) const
{
    const LastBegun &lastBegun = lastBegunOf(part);
    const auto entry = lastBegun.find(part);
    return entry != lastBegun.end() && entry->second >= since;
}

bool PartsHistory::isMeaningful() const
{
    return m_count >= meaningfulCount;
}

void PartsHistory::dropOldest(LastBegun &lastBegun)
{
    std::vector<Millis> times;
    for (const auto &[part, begunAt] : lastBegun) {
        times.push_back(begunAt);
    }
    const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::nth_element(times.begin(), middle, times.end());
    std::erase_if(lastBegun, [limit = *middle](const auto &entry) {
        return entry.second < limit;
    });
}

}
