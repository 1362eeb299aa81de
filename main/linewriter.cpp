#include "main/linewriter.h"

#include <algorithm>
#include <poll.h>
#include <unistd.h>
#include <utility>

namespace vanillaspar
{

namespace
{

// A pipe that can be written to takes this many bytes without blocking: PIPE_BUF on Linux.
constexpr size_t chunkLength = 4096;

bool canWrite(int descriptor)
{
    pollfd entry {descriptor, POLLOUT, 0};
    return poll(&entry, 1, 0) == 1 && (entry.revents & POLLOUT) != 0;
}

}

LineWriter::LineWriter(int descriptor, size_t capacity) : m_descriptor(descriptor), m_capacity(capacity)
{
}

void LineWriter::add(std::string_view line)
{
    if (m_pending.size() + line.size() > m_capacity) {
        ++m_dropped;
        return;
    }
    m_pending.append(line);
}

bool LineWriter::flush()
{
    size_t written = 0;
    // The descriptor may be shared with other processes, so that it is not made non-blocking.
    while (written < m_pending.size() && canWrite(m_descriptor)) {
        const ssize_t count
            = write(m_descriptor, m_pending.data() + written, std::min(chunkLength, m_pending.size() - written));
        if (count <= 0) {
            break;
        }
        written += static_cast<size_t>(count);
    }
    m_pending.erase(0, written);
    return m_pending.empty();
}

uint64_t LineWriter::takeDropped()
{
    return std::exchange(m_dropped, 0);
}

}
