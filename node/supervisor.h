#pragma once

#include <functional>
#include <string>

namespace vanillaspar
{

class EventLog;

/**
 * Runs a child's step and restarts the child if the step fails.
 *
 * The failure is recorded in the event log. The restart rebuilds the child from the platform's state; other children
 * are not affected.
 */
class Supervisor
{
public:
    explicit Supervisor(EventLog &log) : m_log(log)
    {
    }

    /**
     * @param child the name of the child in the log.
     * @param step the work to run; exceptions that it throws are caught.
     * @param restart called after a failure, to reset the child.
     */
    void run(const std::string &child, const std::function<void()> &step, const std::function<void()> &restart);

private:
    EventLog &m_log;
};

}
