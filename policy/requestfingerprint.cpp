#include "policy/requestfingerprint.h"

#include "core/hash.h"

namespace vanillaspar
{

namespace
{

constexpr const char *prefix = "request-"; // parts have hexadecimal names

}

PromptPartId requestFingerprint(const std::string &weights, const std::vector<PromptPartId> &parts)
{
    if (parts.empty()) {
        return {};
    }
    std::string text = weights;
    for (const PromptPartId &part : parts) {
        text += '\0';
        text += part.text();
    }
    return PromptPartId(prefix + std::to_string(stableHash(text)));
}

bool isRequestFingerprint(const PromptPartId &part)
{
    return part.text().rfind(prefix, 0) == 0;
}

}
