// hostile_tests: crowds of clients outside the limits against real processes.
// A process under attack must live on, within its memory and descriptors, and
// serve an ordinary job afterwards.
#include "glenhollow/command_line/command_line.hpp"
#include "hostile/attacks.hpp"

#include <algorithm>
#include <chrono>
#include <iostream>
#include <thread>

using namespace glenhollow;
using namespace glenhollow::hostile;

namespace
{

struct given_flags
{
    std::string test;
    std::string programs;
    std::string folder;
};

/// Checks a process during or after an attack.
/// @return Whether it lives within its limits.
bool check_process(hostile_deployment& deployment, target_process process,
                   const process_limits& limits)
{
    if (!deployment.lives(process))
    {
        std::cout << "BROKEN: the process has ended\n";
        return false;
    }
    const auto used = deployment.usage(process);
    std::cout << "peak memory " << used.peak_memory_mb << " of "
              << limits.memory_mb << " MB, descriptors " << used.descriptors
              << " of " << limits.descriptors << "\n";
    return used.peak_memory_mb <= limits.memory_mb &&
           used.descriptors < limits.descriptors;
}

/// Submits ordinary jobs, one after the other, until one is answered as wanted.
/// @param served Whether it must be served; otherwise a refusal will do.
bool check_service(hostile_deployment& deployment, bool served)
{
    constexpr int attempts = 10;
    constexpr auto pause = std::chrono::milliseconds{300};
    for (int i = 0; i < attempts; ++i)
    {
        const auto status = deployment.submit_job();
        if (status && (!served || *status == 200U))
            return true;
        std::this_thread::sleep_for(pause);
    }
    std::cout << "BROKEN: no ordinary job is "
              << (served ? "served\n" : "answered\n");
    return false;
}

bool run(const attack& one, const given_flags& given)
{
    const auto& limits = one.limits;
    hostile_deployment deployment(given.programs, given.folder, limits);
    deployment.begin();
    bool held = check_process(deployment, one.process, limits);
    {
        crowd clients(deployment.address(one.process, one.port), one.crowd);
        clients.send();
        std::cout << "sent " << clients.sent() << " bytes on "
                  << one.crowd.connections << " connections\n";
        held = check_service(deployment, false) && held;
        held = check_process(deployment, one.process, limits) && held;
    }
    held = check_service(deployment, true) && held;
    return check_process(deployment, one.process, limits) && held;
}

} // namespace

int main(int argc, char** argv)
{
    given_flags given;
    command_line line("hostile_tests", "crowds of clients outside the limits");
    line.text("test", given.test, "name of the attack; empty lists them all");
    line.text("programs", given.programs, "folder of the programs");
    line.text("folder", given.folder, "folder for logs");
    parse_or_exit(line, argc, argv);
    const auto attacks = all_attacks();
    if (given.test.empty())
    {
        for (const auto& one : attacks)
            std::cout << one.name << "\n";
        return 0;
    }
    const auto wanted =
        std::find_if(attacks.begin(), attacks.end(),
                     [&](const attack& one) { return one.name == given.test; });
    if (wanted == attacks.end())
    {
        std::cerr << "no attack has the name " << given.test << "\n";
        return exit_usage;
    }
    return run(*wanted, given) ? 0 : 1;
}
