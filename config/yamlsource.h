#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace vanillaspar
{

/** A YAML text as JSON values, with the line of each, so that errors can name file, line and field. */
class YamlSource
{
public:
    /**
     * @param text YAML or JSON.
     * @param name the file's name, for errors.
     * @throws DocumentError if the text is malformed, nested too deeply or names a field twice.
     */
    YamlSource(const std::string &text, std::string name);

    const nlohmann::json &json() const
    {
        return m_json;
    }
    /** @return "file:line: pointer: what". */
    std::string withLocation(const std::string &pointer, const std::string &what) const;
    /** @return an error "pointer: what" of a reader, with file and line in front. */
    std::string withLocation(const std::string &error) const;

private:
    int lineOf(std::string pointer) const;

    std::string m_name;
    std::map<std::string, int> m_lines; ///< JSON pointer to line, counted from 1.
    nlohmann::json m_json;
};

}
