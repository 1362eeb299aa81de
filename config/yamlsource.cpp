#include "config/yamlsource.h"

#include "core/error.h"

#include <algorithm>
#include <yaml-cpp/yaml.h>

namespace vanillaspar
{

namespace
{

using Json = nlohmann::json;
using LineTable = std::map<std::string, int>;

constexpr int maxDepth = 8; // nesting levels; bounds the recursion

Json scalarToJson(const YAML::Node &node)
{
    const std::string &text = node.Scalar();
    const bool isQuoted = node.Tag() == "!";
    if (!isQuoted) {
        const Json parsed = Json::parse(text, nullptr, false);
        if (parsed.is_boolean() || parsed.is_number()) {
            return parsed;
        }
    }
    return text;
}

Json toJson(const YAML::Node &node, const std::string &pointer, LineTable &lines)
{
    if (std::count(pointer.begin(), pointer.end(), '/') > maxDepth) {
        throw DocumentError(pointer + ": is nested too deeply");
    }
    lines[pointer] = node.Mark().line + 1;
    if (node.IsScalar()) {
        return scalarToJson(node);
    }
    if (node.IsSequence()) {
        Json list = Json::array();
        size_t index = 0;
        for (const YAML::Node &item : node) {
            list.push_back(toJson(item, pointer + "/" + std::to_string(index), lines));
            ++index;
        }
        return list;
    }
    Json object = Json::object();
    for (const auto &item : node) {
        const std::string name = item.first.as<std::string>();
        if (object.contains(name)) {
            throw DocumentError(pointer + "/" + name + ": is defined twice");
        }
        object[name] = toJson(item.second, pointer + "/" + name, lines);
    }
    return object;
}

}

YamlSource::YamlSource(const std::string &text, std::string name) : m_name(std::move(name))
{
    try {
        m_json = toJson(YAML::Load(text), "", m_lines);
    } catch (const YAML::Exception &error) {
        throw DocumentError(m_name + ":" + std::to_string(error.mark.line + 1) + ": " + error.msg);
    } catch (const DocumentError &error) {
        throw DocumentError(withLocation(error.what()));
    }
}

int YamlSource::lineOf(std::string pointer) const
{
    while (true) {
        const auto found = m_lines.find(pointer);
        if (found != m_lines.end()) {
            return found->second;
        }
        const size_t slash = pointer.rfind('/');
        if (slash == std::string::npos) {
            return 1;
        }
        pointer.resize(slash);
    }
}

std::string YamlSource::withLocation(const std::string &pointer, const std::string &what) const
{
    return m_name + ":" + std::to_string(lineOf(pointer)) + ": " + pointer + ": " + what;
}

std::string YamlSource::withLocation(const std::string &error) const
{
    const size_t colon = error.find(": ");
    return colon == std::string::npos ? m_name + ": " + error
                                      : withLocation(error.substr(0, colon), error.substr(colon + 2));
}

}
