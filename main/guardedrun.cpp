#include "main/guardedrun.h"

#include <exception>

namespace vanillaspar
{

namespace
{

constexpr int failed = 3;

}

int runGuarded(const std::function<void()> &run, EventLog &log, const std::string &host,
               const std::function<std::string()> &held)
{
    std::string reason;
    try {
        run();
        return 0;
    } catch (const std::exception &error) {
        reason = error.what();
    } catch (...) {
        reason = "an exception of unknown type";
    }
    log.record(EventCode::ProcessFailed, host, reason + "; " + held());
    return failed;
}

}
