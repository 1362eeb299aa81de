#pragma once

#include "core/buffershares.h"
#include "core/units.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace vanillaspar
{

/** What one caller's connection makes a host keep in memory, as capacity and not as length. */
struct CallerShare
{
    uint32_t address = 0; ///< The caller's IP number.
    size_t unfinished = 0; ///< Bytes of a request that is read in part, and of what came behind a whole one.
    size_t handled = 0; ///< Bytes of the request that is being handled, with the copy that is sent to a replica.
    Millis progressAt; ///< When its request last made progress.
};

/** A connection that has to give up its unfinished request. */
struct CallerExcess
{
    enum class Reason
    {
        Total, ///< All callers together keep too much.
        Address, ///< All connections from its address keep too much.
    };

    uint64_t connection = 0;
    Reason reason = Reason::Total;
    Millis stalledFor; ///< How long it made no progress.
};

/**
 * Bounds the memory that all callers together make a host keep.
 *
 * What is unfinished can be given up without harm, since it hasn't run. What is handled can't, so it is admitted first.
 * Large requests are admitted to a part of the budget only: the rest is left for small ones and for reading.
 */
class CallerBudget
{
public:
    /** @param bytes that all callers may keep together. */
    explicit CallerBudget(size_t bytes = defaultBytes);

    /** @return bytes for the callers of a host with @p memory bytes in all; 0 counts as the smallest host's. */
    static size_t bytesForHost(size_t memory);
    /** Sets the bound. @param largestRequest bytes of a request that must be served when it is alone. */
    void setLimits(size_t bytes, size_t largestRequest);

    /** Records what a connection makes the host keep. */
    void update(uint64_t connection, const CallerShare &share);
    void erase(uint64_t connection);

    /** @return whether a request may be handled that keeps @p bytes. */
    bool admits(size_t bytes) const;
    /**
     * @return the connection that has to give up its unfinished request, or nothing while all limits are met. It is the
     * one with the most bytes, weighted with the time since its last progress, so that a slow caller keeps its place.
     */
    std::optional<CallerExcess> findExcess(Millis now) const;
    /** @return whether so much is kept that requests without progress are given up early. */
    bool isScarce() const
    {
        return total() > m_limit / 2;
    }
    /** @return bytes that all callers keep. */
    size_t total() const
    {
        return m_unfinished.total() + m_handled;
    }

private:
    static constexpr size_t defaultBytes = 40UL * 1024 * 1024; // a quarter of the smallest host's memory (160 MB)

    const CallerShare *heaviest(Millis now, std::optional<uint64_t> address, uint64_t &connection) const;

    size_t m_limit;
    size_t m_handled = 0;
    BufferShares m_unfinished; ///< By address.
    std::map<uint64_t, CallerShare> m_shares; ///< By connection.
};

}
