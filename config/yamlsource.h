#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace vanillaspar
{

/** YAML text converted to JSON, with the line number of each value, so that errors can name file, line and field. */
class YamlSource
{
public:
    /**
     * @param text YAML or JSON.
     * @param name the file's name, for error messages.
     * @throws DocumentError if the text is malformed, nested too deeply or contains a field twice.
     */
    YamlSource(const std::string &text, std::string name);

    const nlohmann::json &json() const
    {
        return m_json;
    }
    /**
     * @param pointer JSON pointer of the value that the error is about.
     * @param what the error message.
     * @return "file:line: pointer: what"; the line is that of the nearest existing ancestor if the value is missing.
     */
    std::string withLocation(const std::string &pointer, const std::string &what) const;
    /**
     * @param error a message of the form "pointer: what".
     * @return the message with file and line in front; with the file alone if it doesn't have that form.
     */
    std::string withLocation(const std::string &error) const;

private:
    int lineOf(std::string pointer) const;

    std::string m_name;
    std::map<std::string, int> m_lines; ///< JSON pointer to line, counted from 1.
    nlohmann::json m_json;
};

}
