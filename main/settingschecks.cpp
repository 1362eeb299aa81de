#include "main/settingschecks.h"

#include "core/error.h"

namespace vanillaspar
{

namespace
{

constexpr size_t shortestSecret = 16; // characters

}

void checkSecret(const std::string &secret)
{
    if (secret.size() < shortestSecret) {
        throw DocumentError("/cluster-secret: is shorter than 16 characters");
    }
}

void checkLogFormat(const std::string &format)
{
    if (format != "text" && format != "json") {
        throw DocumentError("/log-format: must be text or json");
    }
}

}
