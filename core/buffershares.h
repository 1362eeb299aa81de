#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace vanillaspar
{

/**
 * Bounds the bytes that the requests of a host keep in memory, each and together.
 *
 * The bound of a single request alone would have to be tiny to protect the process when many replicas misbehave at the
 * same time. Together with a bound for all it can be generous, and the request that goes is the one that keeps most.
 */
class BufferShares
{
public:
    /**
     * @param requestLimit bytes that one request may keep.
     * @param totalLimit bytes that all requests may keep together.
     */
    BufferShares(size_t requestLimit, size_t totalLimit) : m_requestLimit(requestLimit), m_totalLimit(totalLimit)
    {
    }

    /** Changes the bounds; see the constructor. */
    void setLimits(size_t requestLimit, size_t totalLimit)
    {
        m_requestLimit = requestLimit;
        m_totalLimit = totalLimit;
    }
    /** Records that a request keeps @p bytes now; 0 forgets the request. */
    void update(uint64_t exchange, size_t bytes);
    /** @return the request that has to give up its bytes because a limit is exceeded, or nothing. */
    std::optional<uint64_t> findExcess() const;
    /** @return bytes that a request keeps, as recorded. */
    size_t share(uint64_t exchange) const;
    /** @return bytes that all requests keep. */
    size_t total() const
    {
        return m_total;
    }

private:
    size_t m_requestLimit;
    size_t m_totalLimit;
    size_t m_total = 0;
    std::map<uint64_t, size_t> m_shares; ///< Without empty ones.
};

}
