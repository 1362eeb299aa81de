#include "core/buffershares.h"

#include <algorithm>

namespace vanillaspar
{

void BufferShares::update(uint64_t exchange, size_t bytes)
{
    const auto entry = m_shares.find(exchange);
    if (entry != m_shares.end()) {
        m_total -= entry->second;
        if (bytes == 0) {
            m_shares.erase(entry);
            return;
        }
        entry->second = bytes;
    } else if (bytes > 0) {
        m_shares.emplace(exchange, bytes);
    }
    m_total += bytes;
}

size_t BufferShares::share(uint64_t exchange) const
{
    const auto entry = m_shares.find(exchange);
    return entry == m_shares.end() ? 0 : entry->second;
}

std::optional<uint64_t> BufferShares::findExcess() const
{
    const auto largest = std::max_element(m_shares.begin(), m_shares.end(), [](const auto &left, const auto &right) {
        return left.second < right.second;
    });
    if (largest == m_shares.end() || (m_total <= m_totalLimit && largest->second <= m_requestLimit)) {
        return std::nullopt;
    }
    return largest->first;
}

}
