// glenhollow-agent: the process beside each runner.
#include "glenhollow/agent/agent_node.hpp"
#include "glenhollow/command_line/command_line.hpp"
#include "glenhollow/telemetry/log.hpp"

#include <iostream>

using namespace glenhollow;

int main(int argc, char** argv)
{
    agent_settings settings;
    std::string runner = "127.0.0.1:8080";
    std::size_t memory_mib = settings.executor.table.max_bytes >> 20;
    unsigned keep_s = 300;
    unsigned task_timeout_s = 60;
    log_format format = log_format::text;

    command_line line("glenhollow-agent", "runs tasks on the runner beside it");
    line.identifier("name", settings.name, "name of the runner VM");
    line.identifier("hall", settings.hall, "hall of the VM");
    line.ip_number("address", settings.address, "IP number to listen on");
    line.number<std::uint16_t>("port", settings.port, 0, 65535, "",
                               "port for entries, 0 lets the kernel pick");
    line.number<std::uint16_t>("admin-port", settings.admin_port, 0, 65535, "",
                               "port for metrics, 0 lets the kernel pick");
    line.text("port-file", settings.port_file,
              "file that gets both ports once they are open");
    line.text("runner", runner, "IP:PORT of the runner");
    line.number<std::size_t>("slots", settings.executor.slots, 1, 4096, "tasks",
                             "tasks at the runner at once");
    line.number<std::size_t>("queue", settings.executor.max_queued, 0, 65536,
                             "tasks", "accepted tasks that wait for a slot");
    line.number<std::size_t>("connections", settings.max_connections, 1, 65536,
                             "connections", "connections to the runner");
    line.number<unsigned>("task-timeout", task_timeout_s, 1, 3600, "s",
                          "limit of one call to the runner");
    line.number<std::size_t>("memory", memory_mib, 1, 65536, "MiB",
                             "limit of remembered starts and results");
    line.number<unsigned>("keep-for", keep_s, 1, 86400, "s",
                          "how long a start is remembered; above the entries' "
                          "id-lifetime and longest deadline together");
    line.text("trace-file", settings.trace_file,
              "file for spans as OTLP-JSON lines, empty for none");
    line.choice("log-format", format, "format of log lines");
    parse_or_exit(line, argc, argv);

    const auto where = host_port::parse(runner);
    if (!where)
    {
        std::cerr << "--runner " << where.error().text << "\n";
        return exit_usage;
    }
    settings.runner = where.value();
    settings.task_timeout = seconds{task_timeout_s};
    settings.executor.table.max_bytes = memory_mib << 20;
    settings.executor.table.record_retention = seconds{keep_s};
    start_log(format, "glenhollow-agent");
    auto node = agent_node::create(settings);
    if (!node)
    {
        std::cerr << node.error().text << "\n";
        return 1;
    }
    return node.value()->run();
}
