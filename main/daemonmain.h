#pragma once

#include <cstdint>
#include <functional>
#include <string>

namespace vanillaspar
{

/** What differs between the daemons' command lines. */
struct DaemonProgram
{
    const char *name = nullptr;
    std::function<void(const std::string &path)> check; ///< Checks a settings file. @throws DocumentError
    std::function<void(const std::string &path)> run; ///< Runs with a settings file until the shutdown is over; called
                                                      ///< again for 3 s after an Error at the start.
};

/**
 * Handles the process's signals, reads --settings, --check-settings and --version and does what they say.
 *
 * @return the process's exit code: 0, 2 for a wrong command line or file, 3 for another error.
 */
int runProgram(const DaemonProgram &program, int argc, char **argv);

/** @return a seed that no other process has. */
uint64_t randomSeed();

}
