#pragma once

#include "core/eventlog.h"

#include <log4cplus/logger.h>
#include <string>

namespace vanillaspar
{

class LineWriter;

/** The event log through log4cplus, as text or as one JSON object a line. */
class LogFile : public EventLog
{
public:
    /**
     * @param format "text" or "json".
     * @param path empty logs to standard output, which never makes the caller wait.
     * @param host the host's name, in each JSON line.
     */
    LogFile(const std::string &format, const std::string &path, std::string host);
    ~LogFile() override;

    void record(EventCode code, const std::string &subject, const std::string &detail) override;
    /** Writes what was recorded, as far as standard output takes it; to be called from the loop and before the end. */
    void flush();

private:
    log4cplus::Logger m_logger;
    bool m_isJson;
    std::string m_host;
    LineWriter *m_writer = nullptr; ///< The appender's; nullptr for a file.
};

}
