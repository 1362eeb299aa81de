#pragma once

#include <popt.h>
#include <string>
#include <vector>

namespace vanillaspar
{

/** Reads a command line with popt: long options with a value or without, then free arguments. */
class CommandLine
{
public:
    /** @param usage what stands after the program's name in --help. */
    explicit CommandLine(std::string usage);

    /** Declares an option that takes a value. */
    void addValue(const char *name, std::string &value, const char *help);
    /** Declares an option without a value. */
    void addFlag(const char *name, bool &flag, const char *help);

    /**
     * Reads the arguments; --help prints the usage and ends the process.
     *
     * @throws DocumentError if an option is unknown or lacks its value.
     */
    void parse(int argc, const char **argv);

    /** @return the arguments that are no options. */
    const std::vector<std::string> &arguments() const
    {
        return m_arguments;
    }

private:
    struct Slot
    {
        char *text = nullptr;
        int isSet = 0;
        std::string *value = nullptr;
        bool *flag = nullptr;
        poptOption option {};
    };

    std::string m_usage;
    std::vector<Slot> m_slots;
    std::vector<std::string> m_arguments;
};

/**
 * @param path a file's path.
 * @return its content.
 * @throws DocumentError if it can't be read.
 */
std::string readFile(const std::string &path);

}
