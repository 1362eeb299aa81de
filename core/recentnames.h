#pragma once

#include <cstddef>
#include <deque>
#include <string>

namespace vanillaspar
{

/** The names that were added last, up to a number; the one added longest ago is dropped first. */
class RecentNames
{
public:
    explicit RecentNames(size_t capacity) : m_capacity(capacity)
    {
    }

    /** Adds a name, or makes it the newest one. */
    void add(const std::string &name);
    bool contains(const std::string &name) const;
    void clear()
    {
        m_names.clear();
    }

private:
    size_t m_capacity;
    std::deque<std::string> m_names; ///< The newest last.
};

}
