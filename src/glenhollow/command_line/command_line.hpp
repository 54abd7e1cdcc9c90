#ifndef GLENHOLLOW_COMMAND_LINE_COMMAND_LINE_HPP
#define GLENHOLLOW_COMMAND_LINE_COMMAND_LINE_HPP

#include "glenhollow/core/names.hpp"
#include "glenhollow/core/result.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace glenhollow
{

/// Exit status of a program that was called wrongly.
inline constexpr int exit_usage = 2;

/// What the command line asks for.
enum class command_line_request : std::uint8_t
{
    run,   ///< Go on.
    finish ///< Help or the version was printed.
};

/// The flags of one program: each with unit, range, default and text. A flag
/// `--some-name` is also read from `GLENHOLLOW_SOME_NAME`; the flag wins.
class command_line final
{
public:
    /// @param program Its name.
    /// @param about One line for --help.
    command_line(std::string program, std::string about);

    /// Adds a text flag.
    /// @param name Without the dashes.
    /// @param target Holds the default; gets the value.
    /// @param about One line for --help.
    /// @param required Whether an empty value is refused.
    void text(std::string_view name, std::string& target,
              std::string_view about, bool required = false);

    /// Adds a flag whose value is a name: 1 to 64 of a-z A-Z 0-9 _ -.
    /// @param name Without the dashes.
    /// @param target Holds the default; gets the value.
    /// @param about One line for --help.
    void identifier(std::string_view name, std::string& target,
                    std::string_view about);

    /// Adds a flag whose value is an IP number.
    /// @param name Without the dashes.
    /// @param target Holds the default; gets the value.
    /// @param about One line for --help.
    void ip_number(std::string_view name, std::string& target,
                   std::string_view about);

    /// Adds a flag whose value is IP:PORT.
    /// @param name Without the dashes.
    /// @param target Holds the default; gets the value.
    /// @param about One line for --help.
    void endpoint(std::string_view name, std::string& target,
                  std::string_view about);

    /// Adds a flag whose value is a list IP:PORT[,IP:PORT...], maybe empty.
    /// @param name Without the dashes.
    /// @param target Holds the default; gets the value.
    /// @param about One line for --help.
    void endpoints(std::string_view name, std::string& target,
                   std::string_view about);

    /// Adds a flag for a whole number.
    /// @param name Without the dashes.
    /// @param target Holds the default; gets the value.
    /// @param least Smallest value allowed.
    /// @param most Largest value allowed.
    /// @param unit Shown in --help, may be empty.
    /// @param about One line for --help.
    template <class Number>
    void number(std::string_view name, Number& target, Number least,
                Number most, std::string_view unit, std::string_view about)
    {
        add_number(
            name, static_cast<double>(target), static_cast<double>(least),
            static_cast<double>(most), unit, about, std::is_integral_v<Number>,
            [&target](double value) { target = static_cast<Number>(value); });
    }

    /// Adds a flag for one name of an enumeration.
    /// @param name Without the dashes.
    /// @param target Holds the default; gets the value.
    /// @param about One line for --help.
    template <class Enum>
    void choice(std::string_view name, Enum& target, std::string_view about)
    {
        std::string names;
        for (const auto& one : name_table<Enum>::names)
            names.append(names.empty() ? "" : ", ").append(one);
        add_checked(name, std::string(to_name(target)),
                    std::string(about) + " (one of " + names + ")",
                    [&target, names](const std::string& given) -> std::string
                    {
                        const auto value = from_name<Enum>(given);
                        if (!value)
                            return "is not one of " + names;
                        target = *value;
                        return {};
                    });
    }

    /// Adds a flag without a value.
    /// @param name Without the dashes.
    /// @param target Set to true when the flag is there.
    /// @param about One line for --help.
    void flag(std::string_view name, bool& target, std::string_view about);

    /// Adds `--node-file`: a file of `flag = value` lines. A flag on the
    /// command line or in the environment goes before the file.
    void node_file() { has_node_file_ = true; }

    /// Gives a flag a one-letter form.
    /// @param name Without the dashes.
    /// @param letter The letter.
    void short_form(std::string_view name, char letter);

    /// Reads flags and environment; prints help or version when asked to.
    /// @param argc As given to main.
    /// @param argv As given to main.
    /// @return What to do, or which flag has which wrong value.
    result<command_line_request> parse(int argc, const char* const* argv);

private:
    /// Takes a value. Returns empty or what is wrong with it.
    using taker = std::function<std::string(const std::string&)>;

    /// Values of a node file by flag.
    using file_values = std::map<std::string, std::string, std::less<>>;

    /// One flag.
    struct option
    {
        std::string name;        ///< Without the dashes.
        char letter = 0;         ///< Short form, or 0.
        std::string fallback;    ///< The default as text.
        std::string about;       ///< For --help.
        bool takes_value = true; ///< Whether a value follows.
        taker take;              ///< Checks and stores.
    };

    void add_checked(std::string_view name, std::string fallback,
                     std::string about, taker take);
    void add_number(std::string_view name, double fallback, double least,
                    double most, std::string_view unit, std::string_view about,
                    bool whole, std::function<void(double)> store);
    result<void> take(const option& option, const std::string& value);
    result<file_values> read_node_file(const std::string& path) const;

    std::string program_;         ///< Its name.
    std::string about_;           ///< One line.
    std::vector<option> options_; ///< In the order of --help.
    bool has_node_file_ = false;  ///< `--node-file` is known.
};

/// Parses, and ends the program where it must not go on.
/// @param line The flags.
/// @param argc As given to main.
/// @param argv As given to main.
void parse_or_exit(command_line& line, int argc, const char* const* argv);

} // namespace glenhollow

#endif
