#include "glenhollow/command_line/command_line.hpp"

#include "glenhollow/command_line/version.hpp"
#include "glenhollow/core/submission_id.hpp"
#include "glenhollow/http/client.hpp"

#include <boost/asio/ip/address.hpp>
#include <boost/program_options/options_description.hpp>
#include <boost/program_options/parsers.hpp>
#include <boost/program_options/variables_map.hpp>

#include <array>
#include <cctype>
#include <cstdio>
#include <cstdlib>
#include <iostream>

namespace glenhollow
{

namespace po = boost::program_options;

namespace
{

std::string number_text(double value)
{
    std::array<char, 40> text{};
    std::snprintf(text.data(), text.size(), "%.15g", value);
    return text.data();
}

std::string environment_name(const std::string& flag)
{
    std::string name = "GLENHOLLOW_";
    for (const char c : flag)
        name += c == '-' ? '_'
                         : static_cast<char>(
                               std::toupper(static_cast<unsigned char>(c)));
    return name;
}

constexpr const char* node_file_flag = "node-file";

std::string key_of(const std::string& name, char letter)
{
    return letter == 0 ? name : name + "," + letter;
}

} // namespace

command_line::command_line(std::string program, std::string about)
    : program_(std::move(program)), about_(std::move(about))
{
}

void command_line::add_checked(std::string_view name, std::string fallback,
                               std::string about, taker take)
{
    options_.push_back({std::string(name), 0, std::move(fallback),
                        std::move(about), true, std::move(take)});
}

void command_line::text(std::string_view name, std::string& target,
                        std::string_view about, bool required)
{
    add_checked(name, target, std::string(about),
                [&target, required](const std::string& given) -> std::string
                {
                    if (required && given.empty())
                        return "must not be empty";
                    target = given;
                    return {};
                });
}

void command_line::identifier(std::string_view name, std::string& target,
                              std::string_view about)
{
    add_checked(name, target, std::string(about),
                [&target](const std::string& given) -> std::string
                {
                    if (!is_name(given))
                        return "must have 1 to 64 of the letters a-z A-Z 0-9 "
                               "_ and -";
                    target = given;
                    return {};
                });
}

void command_line::ip_number(std::string_view name, std::string& target,
                             std::string_view about)
{
    add_checked(name, target, std::string(about),
                [&target](const std::string& given) -> std::string
                {
                    boost::system::error_code wrong;
                    boost::asio::ip::make_address(given, wrong);
                    if (wrong)
                        return "must be an IP number";
                    target = given;
                    return {};
                });
}

void command_line::endpoint(std::string_view name, std::string& target,
                            std::string_view about)
{
    add_checked(name, target, std::string(about),
                [&target](const std::string& given) -> std::string
                {
                    if (!host_port::parse(given))
                        return "must be IP:PORT with a port in 1..65535";
                    target = given;
                    return {};
                });
}

void command_line::endpoints(std::string_view name, std::string& target,
                             std::string_view about)
{
    add_checked(name, target, std::string(about),
                [&target](const std::string& given) -> std::string
                {
                    if (const auto list = host_port::parse_list(given); !list)
                        return "must be IP:PORT[,IP:PORT...] with ports in "
                               "1..65535: " +
                               list.error().text;
                    target = given;
                    return {};
                });
}

void command_line::add_number(std::string_view name, double fallback,
                              double least, double most, std::string_view unit,
                              std::string_view about, bool whole,
                              std::function<void(double)> store)
{
    const std::string range = number_text(least) + ".." + number_text(most) +
                              (unit.empty() ? "" : " " + std::string(unit));
    add_checked(
        name, number_text(fallback), std::string(about) + " (" + range + ")",
        [=, store = std::move(store)](const std::string& given) -> std::string
        {
            char* end = nullptr;
            const double value = std::strtod(given.c_str(), &end);
            const bool is_number =
                !given.empty() && *end == '\0' && !std::isspace(given[0]);
            const bool fits = is_number && value >= least && value <= most;
            if (!fits || (whole && value != static_cast<std::int64_t>(value)))
                return std::string("must be a ") + (whole ? "whole " : "") +
                       "number in " + range;
            store(value);
            return {};
        });
}

void command_line::flag(std::string_view name, bool& target,
                        std::string_view about)
{
    options_.push_back({std::string(name), 0, "", std::string(about), false,
                        [&target](const std::string& given) -> std::string
                        {
                            const bool on = given == "1" || given == "true";
                            const bool off = given == "0" || given == "false";
                            if (!on && !off)
                                return "must be one of 0, 1, false, true";
                            target = on;
                            return {};
                        }});
}

void command_line::short_form(std::string_view name, char letter)
{
    for (auto& option : options_)
    {
        if (option.name == name)
            option.letter = letter;
    }
}

result<void> command_line::take(const option& option, const std::string& value)
{
    const std::string wrong = option.take(value);
    if (!wrong.empty())
        return failure{"--" + option.name + " '" + value + "' " + wrong};
    return outcome::success();
}

result<command_line::file_values>
command_line::read_node_file(const std::string& path) const
{
    po::options_description known;
    for (const auto& option : options_)
        known.add_options()(option.name.c_str(), po::value<std::string>());
    file_values values;
    try
    {
        const auto parsed =
            po::parse_config_file<char>(path.c_str(), known, false);
        for (const auto& one : parsed.options)
            values[one.string_key] = one.value.empty() ? "" : one.value.front();
    }
    catch (const po::error& error)
    {
        return failure{"node file " + path + ": " + error.what()};
    }
    return values;
}

result<command_line_request> command_line::parse(int argc,
                                                 const char* const* argv)
{
    po::options_description described("Flags, also read from the environment "
                                      "as GLENHOLLOW_<FLAG>");
    auto add = described.add_options();
    for (const auto& option : options_)
    {
        const std::string key = key_of(option.name, option.letter);
        if (!option.takes_value)
        {
            add(key.c_str(), option.about.c_str());
            continue;
        }
        auto* value = po::value<std::string>();
        value->value_name(option.fallback.empty() ? "VALUE"
                                                  : "=" + option.fallback);
        add(key.c_str(), value, option.about.c_str());
    }
    if (has_node_file_)
        add(node_file_flag, po::value<std::string>()->value_name("FILE"),
            "file of 'flag = value' lines");
    add("help", "print this text");
    add("version", "print the version");

    po::variables_map given;
    try
    {
        po::store(po::command_line_parser(argc, argv)
                      .options(described)
                      .style(po::command_line_style::default_style &
                             ~po::command_line_style::allow_guessing)
                      .positional(po::positional_options_description{})
                      .run(),
                  given);
    }
    catch (const po::error& error)
    {
        return failure{std::string(error.what()) + "; see --help"};
    }
    if (given.count("help") != 0)
    {
        std::cout << program_ << ": " << about_ << "\n\n" << described;
        return command_line_request::finish;
    }
    if (given.count("version") != 0)
    {
        std::cout << program_ << " " << version << "\n";
        return command_line_request::finish;
    }
    file_values file;
    const char* file_set =
        std::getenv(environment_name(node_file_flag).c_str());
    if (has_node_file_ && (given.count(node_file_flag) != 0 || file_set))
    {
        const auto path = given.count(node_file_flag) != 0
                              ? given[node_file_flag].as<std::string>()
                              : std::string(file_set);
        BOOST_OUTCOME_TRY(auto read, read_node_file(path));
        file = std::move(read);
    }
    for (const auto& option : options_)
    {
        const auto in_file = file.find(option.name);
        const char* set = std::getenv(environment_name(option.name).c_str());
        if (given.count(option.name) != 0)
        {
            const std::string value =
                option.takes_value ? given[option.name].as<std::string>() : "1";
            BOOST_OUTCOME_TRYV(take(option, value));
        }
        else if (set)
        {
            BOOST_OUTCOME_TRYV(take(option, set));
        }
        else if (in_file != file.end())
        {
            BOOST_OUTCOME_TRYV(take(option, in_file->second));
        }
        else if (option.takes_value)
        {
            BOOST_OUTCOME_TRYV(take(option, option.fallback));
        }
    }
    return command_line_request::run;
}

void parse_or_exit(command_line& line, int argc, const char* const* argv)
{
    const auto request = line.parse(argc, argv);
    if (!request)
    {
        std::cerr << request.error().text << "\n";
        std::exit(exit_usage);
    }
    if (request.value() == command_line_request::finish)
        std::exit(0);
}

} // namespace glenhollow
