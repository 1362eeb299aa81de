#include "main/commandline.h"

#include "core/error.h"

#include <cstdlib>
#include <fstream>
#include <sstream>

namespace vanillaspar
{

CommandLine::CommandLine(std::string usage) : m_usage(std::move(usage))
{
}

void CommandLine::addValue(const char *name, std::string &value, const char *help)
{
    Slot slot;
    slot.value = &value;
    slot.option = {name, '\0', POPT_ARG_STRING, nullptr, 0, help, "VALUE"};
    m_slots.push_back(slot);
}

void CommandLine::addFlag(const char *name, bool &flag, const char *help)
{
    Slot slot;
    slot.flag = &flag;
    slot.option = {name, '\0', POPT_ARG_NONE, nullptr, 0, help, nullptr};
    m_slots.push_back(slot);
}

void CommandLine::parse(int argc, const char **argv)
{
    std::vector<poptOption> options;
    for (Slot &slot : m_slots) {
        slot.option.arg = slot.value != nullptr ? static_cast<void *>(&slot.text) : static_cast<void *>(&slot.isSet);
        options.push_back(slot.option);
    }
    const poptOption closing[] = {POPT_AUTOHELP POPT_TABLEEND};
    options.insert(options.end(), std::begin(closing), std::end(closing));
    poptContext context = poptGetContext(nullptr, argc, argv, options.data(), 0);
    poptSetOtherOptionHelp(context, m_usage.c_str());
    const int result = poptGetNextOpt(context);
    const std::string problem
        = result < -1 ? std::string(poptBadOption(context, 0)) + ": " + poptStrerror(result) : std::string();
    while (const char *argument = poptGetArg(context)) {
        m_arguments.emplace_back(argument);
    }
    poptFreeContext(context);
    for (Slot &slot : m_slots) {
        if (slot.flag != nullptr) {
            *slot.flag = slot.isSet != 0;
        } else if (slot.text != nullptr) {
            *slot.value = slot.text;
            std::free(slot.text);
        }
    }
    if (!problem.empty()) {
        throw DocumentError(problem);
    }
}

std::string readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        throw DocumentError(path + ": can't be read");
    }
    std::ostringstream content;
    content << file.rdbuf();
    return content.str();
}

}
