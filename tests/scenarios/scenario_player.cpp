// Plays one scenario against real processes and compares the session with its
// golden file: scenario_player --scenario F --golden F --programs DIR [--write]
#include "deployment.hpp"
#include "session.hpp"

#include "glenhollow/command_line/command_line.hpp"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

using namespace glenhollow;

namespace
{

std::string read(const std::string& path)
{
    std::ifstream in(path);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

/// Tells the first line that differs.
void tell_difference(const std::string& golden, const std::string& got)
{
    std::istringstream wanted(golden);
    std::istringstream given(got);
    std::string a;
    std::string b;
    for (int line = 1;; ++line)
    {
        const bool more_a = static_cast<bool>(std::getline(wanted, a));
        const bool more_b = static_cast<bool>(std::getline(given, b));
        if (!more_a && !more_b)
            return;
        if (more_a == more_b && a == b)
            continue;
        std::cerr << "line " << line << "\n  golden: " << (more_a ? a : "(end)")
                  << "\n  got:    " << (more_b ? b : "(end)") << "\n";
        return;
    }
}

} // namespace

int main(int argc, char** argv)
{
    std::string scenario;
    std::string golden;
    std::string programs;
    bool write = false;
    command_line line("scenario_player", "plays one scenario");
    line.text("scenario", scenario, "file of statements", true);
    line.text("golden", golden, "file of the session as it must be", true);
    line.text("programs", programs, "folder of the programs", true);
    line.flag("write", write, "write the golden file instead of comparing");
    parse_or_exit(line, argc, argv);

    std::string folder =
        (std::filesystem::temp_directory_path() / "scenario-XXXXXX").string();
    if (!::mkdtemp(folder.data()))
        return 1;
    int status = 0;
    std::string transcript;
    {
        deployment processes(programs, folder);
        session play(processes);
        std::istringstream lines(read(scenario));
        std::string one;
        try
        {
            while (std::getline(lines, one))
            {
                if (!one.empty() && !one.starts_with("#"))
                    play.play(one);
            }
        }
        catch (const std::exception& error)
        {
            std::cerr << "at '" << one << "': " << error.what()
                      << "\nlogs are in " << folder << "\n";
            status = 1;
        }
        transcript = play.transcript();
    }
    if (status != 0)
    {
        std::cerr << transcript;
        return status;
    }
    std::filesystem::remove_all(folder);
    if (write)
    {
        std::ofstream(golden) << transcript;
        return 0;
    }
    const auto wanted = read(golden);
    if (wanted == transcript)
        return 0;
    tell_difference(wanted, transcript);
    return 1;
}
