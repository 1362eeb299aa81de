#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <sstream>
#include <string>

namespace vanillaspar::platform
{

namespace
{

// Names in the platform's protocol that must not appear outside platform/, which decodes them for the rest of the code.
// Names that this project's own interface also uses (such as wait_ms) are left out.
constexpr const char *wireNames[] = {
    "Target-Instance",  "Response-Signature",
    "Not-Executed",     "Token-Count",
    "Deadline-Ms",      "Prefix-Hash",
    "Request-Priority", "Instance-Id",
    "path_prefix",      "slo_ms",
    "max_attempts",     "api_keys",
    "plain_tokens",     "kv_capacity",
    "adapter_slots",    "loads_per_s",
    "fence_token",      "precondition",
    "opcode",           "seqno",
    "cold_left_ms",     "as_of",
    "has_more",         "allow_stale",
    "/-/objects",       "/-/order",
    "/-/report",        "/-/resolve",
    "/-/ready",
};

TEST(ProtocolBoundary, WireNamesAppearOnlyInPlatform)
{
    const std::filesystem::path root(VANILLASPAR_SOURCE_DIR);
    for (const char *folder :
         {"core", "config", "objects", "backend", "cluster", "policy", "node", "net", "serving", "main"}) {
        for (const auto &file : std::filesystem::recursive_directory_iterator(root / folder)) {
            if (!file.is_regular_file()) {
                continue;
            }
            std::ifstream stream(file.path());
            std::ostringstream content;
            content << stream.rdbuf();
            for (const char *name : wireNames) {
                EXPECT_EQ(content.str().find(name), std::string::npos) << file.path() << " knows " << name;
            }
        }
    }
}

}

}
