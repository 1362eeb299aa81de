#pragma once

#include "core/eventlog.h"

#include <functional>
#include <string>

namespace vanillaspar
{

/**
 * Runs @p run; if an exception ends it, an event tells which one and what the process held.
 *
 * @param held what the process holds, for operators.
 * @return the process's exit code: 0, or 3 after an exception.
 */
int runGuarded(const std::function<void()> &run, EventLog &log, const std::string &host,
               const std::function<std::string()> &held);

}
