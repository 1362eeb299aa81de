#include "config/documentcodec.h"
#include "config/validator.h"
#include "config/yamldocument.h"
#include "core/error.h"
#include "core/hash.h"
#include "main/commandline.h"
#include "main/configclient.h"
#include "net/httpclient.h"
#include "net/loop.h"

#include <algorithm>
#include <functional>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <random>

namespace vanillaspar
{

namespace
{

constexpr int invalidDocument = 1;
constexpr int usageError = 2;
constexpr int conflict = 4;
constexpr int unreachable = 5;
constexpr size_t keyBytes = 24;

/** Options and arguments of one call. */
struct Options
{
    std::string platform;
    std::string host;
    std::string credential;
    std::vector<std::string> arguments;
};

Document readDocument(const std::string &path)
{
    return readYamlDocument(readFile(path), path);
}

std::string newSecret()
{
    std::random_device device;
    std::string bytes;
    for (size_t i = 0; i < keyBytes; ++i) {
        static const char digits[] = "0123456789abcdef";
        const unsigned int byte = device();
        bytes.push_back(digits[byte & 15U]);
        bytes.push_back(digits[(byte >> 4U) & 15U]);
    }
    return "vsp_" + bytes;
}

int accept(const Options &options, const ConfigClient &client, const AcceptedDocument &before, const Document &after)
{
    const std::vector<std::string> changes = describeChanges(before.document, after);
    for (const std::string &change : changes) {
        std::cout << change << "\n";
    }
    if (changes.empty() && before.version.value > 0) {
        std::cout << "nothing to change, version " << before.version.value << " stays in force\n";
        return 0;
    }
    for (const Problem &problem : validateChange(before.document, after)) {
        std::cerr << problem.where << ": " << problem.what << "\n";
        return invalidDocument;
    }
    const ConfigVersion version = client.accept(before, after);
    std::cout << "accepted as version " << version.value << "\n";
    if (!options.credential.empty()) {
        const std::vector<std::string> hosts = client.hosts();
        const std::vector<std::string> reached = ConfigClient::push(hosts, options.credential, before, after);
        std::cout << "in force on " << reached.size() << " of " << hosts.size()
                  << " hosts; the others follow the platform\n";
    }
    return 0;
}

int runValidate(const Options &options)
{
    const Document document = readDocument(options.arguments.at(1));
    std::cout << "valid: " << document.teams.size() << " teams, " << document.keys.size() << " keys, "
              << document.adapters.size() << " adapters, " << document.replicas.size() << " replicas, "
              << document.routes.size() << " routes\n";
    return 0;
}

int runDiff(const Options &options)
{
    ConfigClient client(options.platform);
    const Document after = readDocument(options.arguments.at(1));
    for (const std::string &change : describeChanges(client.read().document, after)) {
        std::cout << change << "\n";
    }
    return 0;
}

int runApply(const Options &options)
{
    ConfigClient client(options.platform);
    const Document after = readDocument(options.arguments.at(1));
    return accept(options, client, client.read(), after);
}

int runExport(const Options &options)
{
    ConfigClient client(options.platform);
    std::cout << writeYamlDocument(client.read().document);
    return 0;
}

int runKeys(const Options &options)
{
    ConfigClient client(options.platform);
    const AcceptedDocument before = client.read();
    Document after = before.document;
    const std::string &action = options.arguments.at(1);
    const KeyId id(options.arguments.at(2));
    if (action == "issue") {
        const std::string secret = newSecret();
        after.keys.push_back({id, TeamId(options.arguments.at(3)), sha256Hex(secret)});
        for (const Problem &problem : validate(after)) {
            std::cerr << problem.where << ": " << problem.what << "\n";
            return invalidDocument;
        }
        const int result = accept(options, client, before, after);
        if (result == 0) {
            std::cout << "key " << id.text() << " (shown once): " << secret << "\n";
        }
        return result;
    }
    if (action != "withdraw") {
        throw DocumentError("keys " + action + ": the actions are issue and withdraw");
    }
    const size_t removed = std::erase_if(after.keys, [&](const ApiKey &key) {
        return key.id == id;
    });
    if (removed == 0) {
        throw DocumentError("key \"" + id.text() + "\" does not exist");
    }
    return accept(options, client, before, after);
}

int callHost(const Options &options, const std::string &method, const std::string &path)
{
    const HttpResult result = callOnce({method, options.host, path, {}, "Bearer " + options.credential, {}});
    if (result.kind != HttpResult::Kind::Complete) {
        std::cerr << "vanillasparctl: host " << options.host << " does not answer\n";
        return unreachable;
    }
    std::cout << result.body << "\n";
    return result.status < 300 ? 0 : invalidDocument;
}

int runStatus(const Options &options)
{
    return callHost(options, "GET", "/v1/status");
}

int runDrain(const Options &options)
{
    return callHost(options, "POST", "/v1/drain");
}

struct Command
{
    int (*function)(const Options &);
    size_t arguments; ///< Least number, the command's name included.
};

const std::map<std::string, Command> &commands()
{
    static const std::map<std::string, Command> table {
        {"validate", {runValidate, 2}}, {"diff", {runDiff, 2}}, {"apply", {runApply, 2}},
        {"export", {runExport, 1}},     {"keys", {runKeys, 3}}, {"status", {runStatus, 1}},
        {"drain", {runDrain, 1}},
    };
    return table;
}

int run(int argc, const char **argv)
{
    Options options;
    bool isVersion = false;
    CommandLine line(
        "validate FILE | diff FILE | apply FILE | export | keys issue ID TEAM | keys withdraw ID | status | drain");
    line.addValue("platform", options.platform, "IP number and port of the object API");
    line.addValue("host", options.host, "caller address of an entry host, for status and drain");
    line.addValue("credential", options.credential,
                  "the operators' credential, for status and drain, and to tell hosts of an accepted document");
    line.addFlag("version", isVersion, "print the version and end");
    line.parse(argc, argv);
    if (isVersion) {
        std::cout << "vanillasparctl " << VANILLASPAR_VERSION << "\n";
        return 0;
    }
    options.arguments = line.arguments();
    const auto command = options.arguments.empty() ? commands().end() : commands().find(options.arguments.front());
    if (command == commands().end()) {
        throw DocumentError("no such command; --help lists them");
    }
    if (options.arguments.size() < command->second.arguments) {
        throw DocumentError(command->first + ": an argument is missing");
    }
    return command->second.function(options);
}

}

}

int main(int argc, char **argv)
{
    try {
        return vanillaspar::run(argc, const_cast<const char **>(argv));
    } catch (const vanillaspar::ConflictError &error) {
        std::cerr << "vanillasparctl: " << error.what() << "\n";
        return vanillaspar::conflict;
    } catch (const vanillaspar::DocumentError &error) {
        std::cerr << error.what() << "\n";
        return vanillaspar::invalidDocument;
    } catch (const vanillaspar::ResourceError &error) {
        std::cerr << "vanillasparctl: " << error.what() << "\n";
        return vanillaspar::unreachable;
    } catch (const std::exception &error) {
        std::cerr << "vanillasparctl: " << error.what() << "\n";
        return vanillaspar::usageError;
    }
}
