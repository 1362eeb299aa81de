#pragma once

#include <compare>
#include <concepts>
#include <cstdint>

namespace vanillaspar
{

/**
 * Integer with a unit, so that the compiler rejects a mix of milliseconds, tokens or versions.
 *
 * @tparam Unit tag type that names the unit.
 */
template<class Unit>
struct Quantity
{
    int64_t value = 0;

    constexpr Quantity() = default;
    constexpr explicit Quantity(int64_t initial) : value(initial)
    {
    }

    constexpr auto operator<=>(const Quantity &) const = default;
    constexpr Quantity operator+(Quantity other) const
    {
        return Quantity(value + other.value);
    }
    constexpr Quantity operator-(Quantity other) const
    {
        return Quantity(value - other.value);
    }
    template<std::integral Factor>
    constexpr Quantity operator*(Factor factor) const
    {
        return Quantity(value * static_cast<int64_t>(factor));
    }
    /** @return the product, truncated to an integer. */
    constexpr Quantity operator*(double factor) const
    {
        return Quantity(static_cast<int64_t>(static_cast<double>(value) * factor));
    }
    constexpr Quantity operator/(int64_t divisor) const
    {
        return Quantity(value / divisor);
    }
    constexpr Quantity &operator+=(Quantity other)
    {
        value += other.value;
        return *this;
    }
    constexpr Quantity &operator-=(Quantity other)
    {
        value -= other.value;
        return *this;
    }

    /** Serializes the value with cereal. */
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(value);
    }
};

}
