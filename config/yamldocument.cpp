#include "config/yamldocument.h"

#include "config/documentcodec.h"
#include "config/validator.h"
#include "config/yamlsource.h"
#include "core/error.h"

namespace vanillaspar
{

Document readYamlDocument(const std::string &text, const std::string &name)
{
    const YamlSource source(text, name);
    Document document;
    try {
        document = documentFromJson(source.json());
    } catch (const DocumentError &error) {
        throw DocumentError(source.withLocation(error.what()));
    }
    std::string problems;
    for (const Problem &problem : validate(document)) {
        problems += (problems.empty() ? "" : "\n") + source.withLocation(problem.where, problem.what);
    }
    if (!problems.empty()) {
        throw DocumentError(problems);
    }
    return document;
}

std::string writeYamlDocument(const Document &document)
{
    // JSON is valid YAML, and one object on each line keeps diffs in version control small.
    const nlohmann::json json = documentToJson(document);
    std::string text;
    for (const auto &section : json.items()) {
        if (!section.value().is_array()) {
            text += section.key() + ": " + section.value().dump() + "\n";
            continue;
        }
        text += section.key() + ":" + (section.value().empty() ? " []" : "") + "\n";
        for (const nlohmann::json &record : section.value()) {
            text += "  - " + record.dump() + "\n";
        }
    }
    return text;
}

}
