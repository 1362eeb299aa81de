#pragma once

#include <compare>
#include <string>
#include <utility>

namespace vanillaspar
{

/**
 * Typed string identifier, so that the compiler rejects a team's id where a host's is expected.
 *
 * @tparam Kind tag type that names what is identified.
 */
template<class Kind>
class StringId
{
public:
    StringId() = default;
    explicit StringId(std::string text) : m_text(std::move(text))
    {
    }

    /** @return the id as written in documents and logs. */
    const std::string &text() const
    {
        return m_text;
    }
    bool isEmpty() const
    {
        return m_text.empty();
    }
    auto operator<=>(const StringId &) const = default;

    /** Serializes the id with cereal. */
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_text);
    }

private:
    std::string m_text;
};

}
