#include "net/processsignals.h"

#include <csignal>

namespace vanillaspar
{

namespace
{

volatile std::sig_atomic_t terminateRequested = 0;
volatile std::sig_atomic_t reloadRequested = 0;

void onSignal(int number)
{
    if (number == SIGHUP) {
        reloadRequested = 1;
    } else {
        terminateRequested = 1;
    }
}

bool take(volatile std::sig_atomic_t &flag)
{
    const bool isSet = flag != 0;
    if (isSet) {
        flag = 0;
    }
    return isSet;
}

}

void ProcessSignals::handleTerminate()
{
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGTERM, onSignal);
    std::signal(SIGINT, onSignal);
}

void ProcessSignals::handleReload()
{
    std::signal(SIGHUP, onSignal);
}

bool ProcessSignals::isTerminating()
{
    return terminateRequested != 0;
}

bool ProcessSignals::takeTerminate()
{
    return take(terminateRequested);
}

bool ProcessSignals::takeReload()
{
    return take(reloadRequested);
}

}
