#include "core/eventcutter.h"

#include <utility>

namespace vanillaspar
{

namespace
{

constexpr std::string_view idField = "id:";
constexpr size_t maxIdBytes = 1024; // it is sent on in a header field

}

std::string EventCutter::append(std::string_view data)
{
    const size_t end = m_scanner.scan(data);
    if (end == 0) {
        m_incomplete.append(data);
        return {};
    }
    std::string complete = std::exchange(m_incomplete, std::string(data.substr(end)));
    complete.append(data.substr(0, end));
    updateLastId(complete);
    return complete;
}

std::string EventCutter::takeIncomplete()
{
    return std::exchange(m_incomplete, {});
}

void EventCutter::discardIncomplete()
{
    m_incomplete.clear();
    m_incomplete.shrink_to_fit();
    m_scanner = {};
}

void EventCutter::updateLastId(std::string_view events)
{
    while (!events.empty()) {
        const size_t end = events.find_first_of("\r\n");
        std::string_view line = events.substr(0, end);
        events.remove_prefix(end == std::string_view::npos ? events.size() : end + 1);
        if (line.substr(0, idField.size()) == idField) {
            line.remove_prefix(idField.size());
            if (!line.empty() && line.front() == ' ') {
                line.remove_prefix(1);
            }
            m_isResumable = line.size() <= maxIdBytes;
            if (m_isResumable) {
                m_lastId = line;
            }
        }
    }
}

}
