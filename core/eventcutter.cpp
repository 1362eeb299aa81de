#include "core/eventcutter.h"

#include <utility>

namespace vanillaspar
{

namespace
{

constexpr std::string_view eventEnd = "\n\n";
constexpr std::string_view idField = "id:";

}

std::string EventCutter::take(std::string_view data)
{
    m_rest.append(data);
    const size_t end = m_rest.rfind(eventEnd);
    if (end == std::string::npos) {
        return {};
    }
    std::string whole = m_rest.substr(0, end + eventEnd.size());
    m_rest.erase(0, whole.size());
    readIds(whole);
    return whole;
}

std::string EventCutter::takeRest()
{
    return std::exchange(m_rest, {});
}

void EventCutter::dropRest()
{
    m_rest.clear();
}

void EventCutter::readIds(std::string_view events)
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
