#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace vanillaspar
{

/**
 * Writes lines to a descriptor without ever waiting for its reader.
 *
 * Lines are kept until the descriptor takes them. A line that finds no room is dropped whole and counted.
 */
class LineWriter
{
public:
    /**
     * @param descriptor an open descriptor, which stays the caller's.
     * @param capacity bytes that are kept at most.
     */
    LineWriter(int descriptor, size_t capacity);

    /** Keeps a line until the next flush. @param line ends with a line feed. */
    void add(std::string_view line);
    /** Writes what the descriptor takes now. @return whether everything is written. */
    bool flush();
    /** @return lines dropped since the last call. */
    uint64_t takeDropped();

private:
    int m_descriptor;
    size_t m_capacity;
    std::string m_pending;
    uint64_t m_dropped = 0;
};

}
