#include "glenhollow/core/submission_id.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>

namespace glenhollow
{

namespace
{

constexpr std::size_t max_name_length = 64;
constexpr std::size_t incarnation_digits = 16;
constexpr std::size_t parts_of_id = 4;

bool is_name_letter(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9') || c == '_' || c == '-';
}

std::optional<std::uint64_t> parse_number(std::string_view text, int base)
{
    std::uint64_t value = 0;
    const char* end = text.data() + text.size();
    auto [stop, error] = std::from_chars(text.data(), end, value, base);
    if (error != std::errc{} || stop != end)
        return std::nullopt;
    return value;
}

} // namespace

bool is_name(std::string_view text)
{
    return !text.empty() && text.size() <= max_name_length &&
           std::all_of(text.begin(), text.end(), is_name_letter);
}

std::string submission_id::to_string() const
{
    std::array<char, incarnation_digits + 1> hex{};
    std::snprintf(hex.data(), hex.size(), "%016llx",
                  static_cast<unsigned long long>(incarnation));
    std::string text;
    text.reserve(hall.size() + entry.size() + 40);
    text.append(hall).append(1, '.').append(entry).append(1, '.');
    text.append(hex.data(), incarnation_digits).append(1, '.');
    text.append(std::to_string(sequence));
    return text;
}

std::optional<submission_id> submission_id::parse(std::string_view text)
{
    std::array<std::string_view, parts_of_id> parts;
    for (std::size_t i = 0; i < parts_of_id; ++i)
    {
        const auto dot = text.find('.');
        const bool last = i + 1 == parts_of_id;
        if ((dot == std::string_view::npos) != last)
            return std::nullopt;
        parts[i] = text.substr(0, dot);
        text.remove_prefix(last ? text.size() : dot + 1);
    }
    if (!is_name(parts[0]) || !is_name(parts[1]) ||
        parts[2].size() != incarnation_digits)
        return std::nullopt;
    const auto incarnation = parse_number(parts[2], 16);
    const auto sequence = parse_number(parts[3], 10);
    if (!incarnation || !sequence || *sequence == 0)
        return std::nullopt;
    return submission_id{std::string{parts[0]}, std::string{parts[1]},
                         *incarnation, *sequence};
}

} // namespace glenhollow
