// glenhollow: the operators' command line.
#include "glenhollow/client/interactive.hpp"
#include "glenhollow/client/operator_client.hpp"
#include "glenhollow/command_line/command_line.hpp"
#include "glenhollow/command_line/limits_page.hpp"
#include "glenhollow/configuration/tuning.hpp"

#include <unistd.h>

#include <fstream>
#include <iostream>

using namespace glenhollow;

namespace
{

int to_status(client_exit exit)
{
    return static_cast<int>(exit);
}

/// Runs one statement and prints its answer.
client_exit run_one(const operator_client& client, const std::string& statement,
                    bool as_json)
{
    const auto answer = client.run(statement);
    const bool good =
        answer.exit == client_exit::ok || answer.exit == client_exit::unknown;
    const std::string text =
        as_json ? answer.body + "\n" : to_table(answer.body);
    (good ? std::cout : std::cerr) << text << std::flush;
    return answer.exit;
}

/// Runs the statements of a script, one a line, until one is not answered.
client_exit run_script(const operator_client& client, std::istream& in,
                       bool as_json)
{
    std::string line;
    while (std::getline(in, line))
    {
        const bool comment = line.empty() || line.starts_with("#");
        if (comment)
            continue;
        const auto exit = run_one(client, line, as_json);
        if (exit != client_exit::ok)
            return exit;
    }
    return client_exit::ok;
}

} // namespace

int main(int argc, char** argv)
{
    operator_client_settings settings;
    std::string entries = "127.0.0.1:8080";
    std::string statement;
    std::string script;
    bool as_json = false;
    bool settings_wanted = false;
    double timeout_s = 10;

    command_line line(
        "glenhollow",
        "asks and acts for operators; without -c or -f it reads statements "
        "from the terminal.\nExit status: 0 answered, 1 refused, 2 wrong "
        "flag or statement, 3 no entry answered, 4 change not settled yet");
    line.text("entry", entries, "IP:PORT[,IP:PORT...] of entries");
    line.text("token", settings.token,
              "operator token; better given by environment");
    line.text("command", statement, "one statement to run");
    line.short_form("command", 'c');
    line.text("file", script, "file of statements, one a line; - for input");
    line.short_form("file", 'f');
    line.flag("json", as_json, "print JSON instead of tables");
    line.number("timeout", timeout_s, 0.1, 600.0, "s", "of one statement");
    line.flag("settings-page", settings_wanted,
              "print docs/SETTINGS.md and exit");
    parse_or_exit(line, argc, argv);
    if (settings_wanted)
    {
        std::cout << settings_page() << limits_page();
        return 0;
    }
    const auto list = host_port::parse_list(entries);
    if (!list)
    {
        std::cerr << "--entry " << list.error().text << "\n";
        return exit_usage;
    }
    settings.entries = list.value();
    settings.timeout = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(timeout_s));
    const operator_client client(settings);
    if (!statement.empty())
        return to_status(run_one(client, statement, as_json));
    if (script == "-" || (script.empty() && ::isatty(STDIN_FILENO) == 0))
        return to_status(run_script(client, std::cin, as_json));
    if (!script.empty())
    {
        std::ifstream in(script);
        if (!in)
        {
            std::cerr << "--file cannot read '" << script << "'\n";
            return exit_usage;
        }
        return to_status(run_script(client, in, as_json));
    }
    run_interactive([&](const std::string& one)
                    { run_one(client, one, as_json); });
    return 0;
}
