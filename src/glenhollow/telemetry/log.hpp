#ifndef GLENHOLLOW_TELEMETRY_LOG_HPP
#define GLENHOLLOW_TELEMETRY_LOG_HPP

#include "glenhollow/core/names.hpp"
#include "glenhollow/telemetry/log_budget.hpp"

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace glenhollow
{

/// How urgent a line is.
enum class log_level : std::uint8_t
{
    info,    ///< A change of state that was asked for.
    warning, ///< A change that costs something.
    error    ///< A change that needs a person.
};

template <>
struct name_table<log_level>
{
    static constexpr std::array<std::string_view, 3> names{"info", "warning",
                                                           "error"};
};

/// How lines are written.
enum class log_format : std::uint8_t
{
    text, ///< key=value pairs.
    json  ///< One JSON object a line.
};

template <>
struct name_table<log_format>
{
    static constexpr std::array<std::string_view, 2> names{"text", "json"};
};

/// One named value of a line.
struct log_field
{
    /// @param k The name.
    /// @param v A text.
    log_field(std::string_view k, std::string_view v) : key(k), value(v) {}

    /// @param k The name.
    /// @param v A whole number.
    log_field(std::string_view k, std::integral auto v)
        : key(k), value(std::to_string(v))
    {
    }

    std::string_view key; ///< Its name.
    std::string value;    ///< Its value as text.
};

/// Where lines go.
enum class log_destination : std::uint8_t
{
    standard_error, ///< Besides a program's output.
    standard_output ///< Of daemons whose output is their log.
};

/// Sets up logging.
/// @param format How lines are written.
/// @param program Named in each line.
/// @param destination Where lines go.
void start_log(log_format format, std::string_view program,
               log_destination destination = log_destination::standard_error);

/// Replaces the budget of lines, which is of each kind and by real time.
/// @param settings Its limits.
void limit_log(const log_budget_settings& settings);

/// @return Lines that their reader did not take in time.
std::uint64_t lost_log_lines();

/// Writes one line, within the budget of its kind. Lines are for changes of
/// state; what happens often is counted instead.
/// @param level How urgent it is.
/// @param event What changed, in snake_case.
/// @param fields What a reader needs to know of it.
void log_change(log_level level, std::string_view event,
                std::initializer_list<log_field> fields = {});

} // namespace glenhollow

#endif
