#include "main/daemonmain.h"

#include "core/error.h"
#include "main/commandline.h"
#include "net/processsignals.h"

#include <algorithm>
#include <chrono>
#include <exception>
#include <iostream>
#include <random>
#include <thread>

namespace vanillaspar
{

namespace
{

constexpr int usageError = 2;
constexpr int resourceError = 3;

// A settings file that is being replaced and an address that an earlier process still holds are there soon after.
constexpr std::chrono::milliseconds startLimit(3000);
constexpr std::chrono::milliseconds firstPause(50);
constexpr std::chrono::milliseconds longestPause(400);

/** Runs the program; a start that fails is tried again for a short time. A wish to end stops the attempts. */
void startWithRetries(const DaemonProgram &program, const std::string &path)
{
    const auto start = std::chrono::steady_clock::now();
    for (auto pause = firstPause;; pause = std::min(2 * pause, longestPause)) {
        try {
            program.run(path);
            return;
        } catch (const Error &error) {
            if (std::chrono::steady_clock::now() + pause - start > startLimit) {
                throw;
            }
            std::cerr << program.name << ": " << error.what() << "; trying again" << std::endl;
        }
        std::this_thread::sleep_for(pause);
        if (ProcessSignals::isTerminating()) {
            std::cerr << program.name << ": asked to end before the start was over" << std::endl;
            return;
        }
    }
}

void runCommand(const DaemonProgram &program, int argc, const char **argv)
{
    std::string settingsPath;
    bool isCheck = false;
    bool isVersion = false;
    CommandLine line("--settings FILE");
    line.addValue("settings", settingsPath, "YAML settings of this host");
    line.addFlag("check-settings", isCheck, "check the settings and end");
    line.addFlag("version", isVersion, "print the version and end");
    line.parse(argc, argv);
    if (isVersion) {
        std::cout << program.name << " " << VANILLASPAR_VERSION << "\n";
        return;
    }
    if (settingsPath.empty()) {
        throw DocumentError("--settings is missing");
    }
    if (isCheck) {
        program.check(settingsPath);
        std::cout << settingsPath << ": settings are valid\n";
        return;
    }
    startWithRetries(program, settingsPath);
}

}

int runProgram(const DaemonProgram &program, int argc, char **argv)
{
    ProcessSignals::handleReload();
    ProcessSignals::handleTerminate();
    try {
        runCommand(program, argc, const_cast<const char **>(argv));
        return 0;
    } catch (const DocumentError &error) {
        std::cerr << program.name << ": " << error.what() << "\n";
        return usageError;
    } catch (const Error &error) {
        std::cerr << program.name << ": " << error.what() << "\n";
        return resourceError;
    } catch (const std::exception &error) {
        std::cerr << program.name << ": " << error.what() << "\n";
        return resourceError;
    }
}

uint64_t randomSeed()
{
    std::random_device device;
    return (static_cast<uint64_t>(device()) << 32) | device();
}

}
