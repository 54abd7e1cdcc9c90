// glenhollow-durable-entry: takes jobs that are kept in the platform's store.
#include "durable_entry.hpp"
#include "glenhollow/command_line/command_line.hpp"
#include "glenhollow/telemetry/log.hpp"

#include <iostream>

using namespace glenhollow;

namespace
{

/// What the flags say, as text where it is checked further.
struct given_flags
{
    durable_entry_settings settings;          ///< Simple values.
    std::string callers = "127.0.0.1:8161";   ///< Address.
    std::string readiness = "127.0.0.1:8167"; ///< Address.
    std::string store = "127.0.0.1:8169";     ///< Address.
    std::string seeds;                        ///< Address list.
    unsigned grace_s = 6;                     ///< Seconds.
    log_format format = log_format::json;     ///< Of log lines.
};

command_line flags_for(given_flags& given)
{
    auto& settings = given.settings;
    command_line line("glenhollow-durable-entry",
                      "takes jobs that are kept in the platform's store");
    line.node_file();
    line.identifier("name", settings.name, "name of the entry's machine");
    line.identifier("zone", settings.zone, "zone of the machine");
    line.ip_number("address", settings.address, "IP number for links");
    line.number<std::uint16_t>("rpc-port", settings.rpc_port, 0, 65535, "",
                               "port for links, alike on all machines");
    line.number<std::uint16_t>("metrics-port", settings.metrics_port, 0, 65535,
                               "", "port for metrics");
    line.endpoint("callers", given.callers, "IP:PORT where clients call");
    line.endpoint("readiness", given.readiness, "IP:PORT for GET /ready");
    line.endpoint("store", given.store, "IP:PORT of the platform's store");
    line.endpoints(
        "seeds", given.seeds,
        "IP:PORT list of entries that may be live; their link port is "
        "this entry's");
    line.number<std::size_t>("parts", settings.parts, 1, 4096, "parts",
                             "of the journal; alike in all processes");
    line.number<unsigned>("grace", given.grace_s, 1, 600, "s",
                          "from SIGTERM to the end of the process");
    line.flag("own-placement", settings.own_placement,
              "place this entry's tasks here, never at the placer of all");
    line.choice("job-hosts", settings.handover.mode,
                "whether agents' processes run whole jobs for entries: "
                "automatic where no entry has the power to place for all");
    line.number<std::size_t>("host-agents", settings.handover.agents_per_group,
                             1, 10000, "agents", "of one host, about");
    line.number<std::size_t>("sampled-groups", settings.handover.sampled_groups,
                             1, 10000, "groups",
                             "to whose hosts this entry hands jobs");
    line.number<std::size_t>("group-entries",
                             settings.handover.entries_per_group, 1, 10000,
                             "entries",
                             "that hand jobs to a group, at least and on "
                             "average");
    line.number<std::uint32_t>("strong-entry",
                               settings.handover.strong_entry_millicores, 1,
                               1'000'000, "millicores",
                               "an entry that may use as much for each agent "
                               "can place for all");
    line.number<unsigned>("review", settings.review_ms, 1, 1000, "ms",
                          "between two plans under overload");
    line.number<double>("begin-by", settings.begin_by, 0, 1, "",
                        "share of its caller's patience by which a job that "
                        "will be late must have begun");
    line.number<unsigned>("warm-up", settings.warm_up_ms, 0, 10'000, "ms",
                          "after the start, in which requests wait for the "
                          "configuration and the agents; 0: they are refused");
    line.number<double>("late-reserve", settings.late_reserve, 0, 1, "",
                        "share of a service's cores that must be free before "
                        "a task of a late job starts");
    line.number<unsigned>("cancel-memory", settings.cancel_memory_s, 1, 3600,
                          "s",
                          "for which a job in memory that was cancelled is not "
                          "run when it comes again");
    line.number<double>("cpu-share", settings.cpu_share, 0.01, 1024, "cores",
                        "share of a core that this process may use");
    line.number<double>("cores", settings.cores, 0.1, 1024, "",
                        "how many times as fast as usual that core runs");
    line.number<double>("far-factor", settings.far_factor, 1, 100, "",
                        "time of a task far from its data, over that near it");
    line.choice("server-order", settings.order,
                "which of several backend servers with room comes first");
    auto& resources = settings.resources;
    line.number<std::size_t>("memory-mb", resources.memory_mb, 0, 1'048'576,
                             "MB",
                             "past which this process is killed; bounds what "
                             "it takes in, 0 if not known");
    line.number<std::size_t>("max-fds", resources.descriptors, 0, 1'048'576, "",
                             "descriptors that this process may open; bounds "
                             "its connections, 0 if not known");
    line.number<double>("link-mbps", resources.link_mbps, 0, 1'000'000,
                        "Mbit/s",
                        "of the machine's link, each way; bounds the bodies "
                        "on their way, 0 if not known");
    line.choice("log-format", given.format, "format of log lines");
    return line;
}

result<durable_entry_settings> check(const given_flags& given)
{
    auto settings = given.settings;
    BOOST_OUTCOME_TRY(settings.callers, host_port::parse(given.callers));
    BOOST_OUTCOME_TRY(settings.readiness, host_port::parse(given.readiness));
    BOOST_OUTCOME_TRY(settings.store.server, host_port::parse(given.store));
    BOOST_OUTCOME_TRY(settings.seeds, host_port::parse_list(given.seeds));
    for (auto& seed : settings.seeds)
        seed.port = settings.rpc_port;
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
    start_log(given.format, "glenhollow-durable-entry",
              log_destination::standard_output);
    return run_durable_entry(settings.value(),
                             [argc, argv]() -> result<durable_entry_settings>
                             {
                                 given_flags again;
                                 auto flags = flags_for(again);
                                 BOOST_OUTCOME_TRYV(flags.parse(argc, argv));
                                 return check(again);
                             });
}
