#include "core/eventscanner.h"

namespace vanillaspar
{

void EventScanner::endLine()
{
    if (m_isLineEmpty && m_isInsideEvent) {
        m_isInsideEvent = false;
        ++m_count;
    }
    m_isLineEmpty = true;
}

size_t EventScanner::scan(std::string_view data)
{
    size_t completeBytes = 0;
    for (size_t i = 0; i < data.size(); ++i) {
        const char byte = data[i];
        const bool isSameLineEnd = byte == '\n' && m_wasCarriageReturn;
        m_wasCarriageReturn = byte == '\r';
        if (byte != '\r' && byte != '\n') {
            m_isLineEmpty = false;
            m_isInsideEvent = true;
        } else if (!isSameLineEnd) {
            endLine();
        }
        if (!m_isInsideEvent) {
            completeBytes = i + 1;
        }
    }
    return completeBytes;
}

}
