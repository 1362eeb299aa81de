#include "main/logfile.h"

#include "main/linewriter.h"

#include <chrono>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/loggingmacros.h>
#include <log4cplus/spi/loggingevent.h>
#include <nlohmann/json.hpp>
#include <sstream>
#include <unistd.h>

namespace vanillaspar
{

namespace
{

// Standard output that nobody reads: lines of some seconds are kept, then they are dropped and counted.
constexpr size_t keptBytes = 262144;

/** Hands log4cplus' lines to a writer that never blocks. */
class QueueAppender : public log4cplus::Appender
{
public:
    QueueAppender() : m_writer(STDOUT_FILENO, keptBytes)
    {
    }
    ~QueueAppender() override
    {
        destructorImpl();
    }
    void close() override
    {
        m_writer.flush();
        closed = true;
    }
    LineWriter &writer()
    {
        return m_writer;
    }

protected:
    void append(const log4cplus::spi::InternalLoggingEvent &event) override
    {
        std::ostringstream line;
        layout->formatAndAppend(line, event);
        m_writer.add(line.str());
    }

private:
    LineWriter m_writer;
};

const char *severityName(Severity severity)
{
    switch (severity) {
    case Severity::Info:
        return "info";
    case Severity::Warning:
        return "warning";
    case Severity::Error:
        break;
    }
    return "error";
}

log4cplus::LogLevel levelOf(Severity severity)
{
    switch (severity) {
    case Severity::Info:
        return log4cplus::INFO_LOG_LEVEL;
    case Severity::Warning:
        return log4cplus::WARN_LOG_LEVEL;
    case Severity::Error:
        break;
    }
    return log4cplus::ERROR_LOG_LEVEL;
}

}

LogFile::LogFile(const std::string &format, const std::string &path, std::string host)
    : m_logger(log4cplus::Logger::getInstance("vanillaspar")), m_isJson(format == "json"), m_host(std::move(host))
{
    log4cplus::SharedAppenderPtr appender;
    if (path.empty()) {
        auto *queue = new QueueAppender;
        m_writer = &queue->writer();
        appender = queue;
    } else {
        appender = new log4cplus::FileAppender(path, std::ios_base::app, true);
    }
    const std::string pattern = m_isJson ? "%m%n" : "%D{%Y-%m-%d %H:%M:%S.%q} %-5p %m%n";
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(pattern));
    m_logger.addAppender(appender);
    m_logger.setLogLevel(log4cplus::INFO_LOG_LEVEL);
}

LogFile::~LogFile()
{
    m_logger.removeAllAppenders();
}

void LogFile::flush()
{
    if (m_writer == nullptr) {
        return;
    }
    m_writer->flush();
    if (const uint64_t dropped = m_writer->takeDropped()) {
        record(EventCode::LinesDropped, "standard output", std::to_string(dropped) + " lines found no room");
    }
}

void LogFile::record(EventCode code, const std::string &subject, const std::string &detail)
{
    const EventEntry &entry = eventEntry(code);
    const int number = static_cast<int>(code);
    std::string line;
    if (m_isJson) {
        const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
        const nlohmann::json json {
            {"time_ms", std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count()},
            {"host", m_host},
            {"event", number},
            {"name", std::string(entry.name)},
            {"severity", severityName(entry.severity)},
            {"subject", subject},
            {"detail", detail}};
        line = json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    } else {
        line = "[" + std::to_string(number) + "] " + std::string(entry.name) + " " + subject + ": " + detail;
    }
    m_logger.log(levelOf(entry.severity), line);
}

}
