#pragma once

namespace vanillaspar
{

/**
 * Signals of the process, kept until its loop asks for them.
 *
 * A daemon handles them as the first thing in main(), since their default action ends the process.
 */
class ProcessSignals
{
public:
    /** Keeps SIGTERM and SIGINT as a wish to end; ignores SIGPIPE. */
    static void handleTerminate();
    /** Keeps SIGHUP as a wish to read the settings again. */
    static void handleReload();

    /** @return whether the process was asked to end and takeTerminate() hasn't told so yet. */
    static bool isTerminating();
    /** @return whether the process was asked to end since the last call. */
    static bool takeTerminate();
    /** @return whether the process was asked to read its settings again since the last call. */
    static bool takeReload();
};

}
