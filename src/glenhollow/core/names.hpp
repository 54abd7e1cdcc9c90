#ifndef GLENHOLLOW_CORE_NAMES_HPP
#define GLENHOLLOW_CORE_NAMES_HPP

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace glenhollow
{

/// The names of an enumeration in the order of its values, from 0 without
/// gaps. Each enumeration with names specialises this table.
template <class Enum>
struct name_table;

/// @param value One value of the enumeration.
/// @return The name of the value as users see it.
template <class Enum>
std::string_view to_name(Enum value)
{
    return name_table<Enum>::names[static_cast<std::size_t>(value)];
}

/// @param name A name as users write it.
/// @return The value with that name, or nothing.
template <class Enum>
std::optional<Enum> from_name(std::string_view name)
{
    const auto& names = name_table<Enum>::names;
    for (std::size_t i = 0; i < names.size(); ++i)
    {
        if (names[i] == name)
            return static_cast<Enum>(i);
    }
    return std::nullopt;
}

/// @param index A number that came over a link.
/// @param otherwise What an unknown number means.
/// @return The value with that number.
template <class Enum>
Enum from_index(std::size_t index, Enum otherwise)
{
    return index < name_table<Enum>::names.size() ? static_cast<Enum>(index)
                                                  : otherwise;
}

} // namespace glenhollow

#endif
