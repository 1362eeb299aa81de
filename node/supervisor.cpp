#include "node/supervisor.h"

#include "core/eventlog.h"

#include <exception>

namespace vanillaspar
{

void Supervisor::run(const std::string &child, const std::function<void()> &step, const std::function<void()> &restart)
{
    try {
        step();
    } catch (const std::exception &error) {
        m_log.record(EventCode::ChildRestarted, child, error.what());
        restart();
    }
}

}
