// glenhollow-durable-agent: the one voice that speaks to the runner beside it.
#include "durable_agent.hpp"
#include "glenhollow/command_line/command_line.hpp"
#include "glenhollow/durable/lease_timing.hpp"
#include "glenhollow/telemetry/log.hpp"
#include "platform/run_lists_format.hpp"

#include <algorithm>
#include <iostream>

using namespace glenhollow;

namespace
{

/// What the flags say, as text where it is checked further.
struct given_flags
{
    durable_agent_settings settings;             ///< Simple values.
    std::string registration = "127.0.0.1:8166"; ///< Address.
    std::string runner = "127.0.0.1:8165";       ///< Address.
    std::string store = "127.0.0.1:8169";        ///< Address.
    unsigned hold_ms = 1000;                     ///< Milliseconds.
    unsigned grace_s = 6;                        ///< Seconds.
    log_format format = log_format::json;        ///< Of log lines.
};

command_line flags_for(given_flags& given)
{
    auto& settings = given.settings;
    command_line line("glenhollow-durable-agent",
                      "the one voice that speaks to the runner beside it");
    line.node_file();
    line.identifier("name", settings.name, "name of the runner's machine");
    line.identifier("zone", settings.zone, "zone of the machine");
    line.ip_number("address", settings.address, "IP number for links");
    line.number<std::uint16_t>("rpc-port", settings.rpc_port, 0, 65535, "",
                               "port for links, alike on all machines");
    line.number<std::uint16_t>("metrics-port", settings.metrics_port, 0, 65535,
                               "", "port for metrics");
    line.endpoint("registration", given.registration,
                  "IP:PORT where the runner registers");
    line.endpoint("runner", given.runner, "IP:PORT of the runner");
    line.text(
        "service", settings.server_service,
        "service of the runner; heartbeats of another are refused, empty: "
        "any");
    line.endpoint("store", given.store, "IP:PORT of the platform's store");
    line.number<std::size_t>("parts", settings.manager.parts, 1, 4096, "parts",
                             "of the journal; alike in all processes");
    line.number<unsigned>("hold", given.hold_ms, 200, 60'000, "ms",
                          "longest time that the runner holds runs unrenewed; "
                          "at most 1000 are used, which entries reckon with");
    line.number<unsigned>("grace", given.grace_s, 1, 600, "s",
                          "from SIGTERM to the end of the process");
    line.choice("log-format", given.format, "format of log lines");
    return line;
}

result<durable_agent_settings> check(const given_flags& given)
{
    auto settings = given.settings;
    BOOST_OUTCOME_TRY(settings.registration,
                      host_port::parse(given.registration));
    BOOST_OUTCOME_TRY(settings.runner.server, host_port::parse(given.runner));
    BOOST_OUTCOME_TRY(settings.store.server, host_port::parse(given.store));
    // Entries take it that a run of a lost agent has lapsed after times that
    // are made for this hold.
    settings.manager.hold =
        std::min<duration>(milliseconds{given.hold_ms}, max_hold);
    settings.manager.max_listed_ends = platform::max_listed_ends;
    auto margins = default_lease_timing();
    margins.hold = settings.manager.hold;
    margins.memory_lease = settings.manager.memory_lease;
    margins.part_lease = settings.manager.part_lease;
    margins.stop_time = settings.manager.stop_time;
    margins.held_past_lease = settings.manager.held_past_lease;
    BOOST_OUTCOME_TRYV(check_lease_timing(margins));
    settings.grace = seconds{given.grace_s};
    return settings;
}

} // namespace

int main(int argc, char** argv)
{
    given_flags given;
    auto line = flags_for(given);
    parse_or_exit(line, argc, argv);
    const auto settings = check(given);
    if (!settings)
    {
        std::cerr << settings.error().text << "\n";
        return exit_usage;
    }
    start_log(given.format, "glenhollow-durable-agent",
              log_destination::standard_output);
    return run_durable_agent(settings.value(),
                             [argc, argv]() -> result<durable_agent_settings>
                             {
                                 given_flags again;
                                 auto flags = flags_for(again);
                                 BOOST_OUTCOME_TRYV(flags.parse(argc, argv));
                                 return check(again);
                             });
}
