#include "core/eventcutter.h"

#include <utility>

namespace vanillaspar
{

namespace
{

constexpr std::string_view eventEnd = "\n\n";
constexpr std::string_view idField = "id:";

}

std::string EventCutter::append(std::string_view data)
{
    m_incomplete.append(data);
    const size_t end = m_incomplete.rfind(eventEnd);
    if (end == std::string::npos) {
        return {};
    }
    std::string complete = m_incomplete.substr(0, end + eventEnd.size());
    m_incomplete.erase(0, complete.size());
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
}

void EventCutter::updateLastId(std::string_view events)
{
    while (!events.empty()) {
        const size_t end = events.find('\n');
        std::string_view line = events.substr(0, end);
        events.remove_prefix(end == std::string_view::npos ? events.size() : end + 1);
        if (line.substr(0, idField.size()) == idField) {
            line.remove_prefix(idField.size());
            if (!line.empty() && line.front() == ' ') {
                line.remove_prefix(1);
            }
            m_lastId = line;
        }
    }
}

}
