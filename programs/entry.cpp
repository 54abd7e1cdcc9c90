// glenhollow-entry: takes callers' jobs and operators' statements.
#include "glenhollow/command_line/command_line.hpp"
#include "glenhollow/entry/entry_node.hpp"
#include "glenhollow/telemetry/log.hpp"

#include <fstream>
#include <iostream>
#include <sstream>

using namespace glenhollow;

int main(int argc, char** argv)
{
    entry_settings settings;
    std::string platform = "127.0.0.1:8100";
    std::string seeds;
    std::string defaults_file;
    double report_s = 60;
    log_format format = log_format::text;

    command_line line("glenhollow-entry",
                      "takes callers' jobs and operators' statements");
    line.identifier("name", settings.name, "name of the entry VM");
    line.identifier("hall", settings.hall, "hall of the VM");
    line.ip_number("address", settings.address, "IP number to listen on");
    line.number<std::uint16_t>("http-port", settings.http_port, 0, 65535, "",
                               "port for callers, 0 lets the kernel pick");
    line.number<std::uint16_t>("rpc-port", settings.rpc_port, 0, 65535, "",
                               "port for entries, 0 lets the kernel pick");
    line.text("port-file", settings.port_file,
              "file that gets both ports once they are open");
    line.text("platform", platform, "IP:PORT of the platform's services");
    line.text("seeds", seeds,
              "IP:PORT list of entries to ask for members when the "
              "platform's list is away");
    line.number<std::uint32_t>("threads", settings.threads, 1, 64, "threads",
                               "traffic threads");
    line.text("operator-token", settings.operator_tokens,
              "NAME:TOKEN list of operators; better given by environment");
    line.text("defaults", defaults_file,
              "file of 'set <key> <value>' lines, in force without a row");
    line.text("trace-file", settings.trace_file,
              "file for spans as OTLP-JSON lines, empty for none");
    line.number("trace-share", settings.trace_share, 0.0, 1.0, "",
                "share of the traces begun here that is written");
    line.number<std::size_t>("max-body", settings.max_body_bytes, 1024,
                             1UL << 30, "bytes", "largest request body");
    line.number<std::size_t>("ring", settings.ring_records, 1024, 100'000'000,
                             "decisions",
                             "kept for why, per traffic thread, 32 bytes each");
    line.number<std::size_t>("own-hall-links", settings.own_hall_links, 1, 1000,
                             "entries",
                             "of its own hall that link to a runner; the "
                             "same at all entries");
    line.number<std::size_t>("other-hall-links", settings.other_hall_links, 0,
                             1000, "entries",
                             "of other halls that link to a runner; the same "
                             "at all entries");
    line.number("report-interval", report_s, 0.5, 3600.0, "s",
                "between writes of the night report");
    line.number("platform-reads", settings.platform_reads_per_s, 0.1, 1000.0,
                "1/s", "cap on reads from the platform");
    line.number("platform-writes", settings.platform_writes_per_s, 0.1, 100.0,
                "1/s", "cap on writes to the platform");
    line.choice("log-format", format, "format of log lines");
    parse_or_exit(line, argc, argv);

    const auto where = host_port::parse(platform);
    const auto others = host_port::parse_list(seeds);
    if (!where || !others)
    {
        std::cerr << (where ? "--seeds " + others.error().text
                            : "--platform " + where.error().text)
                  << "\n";
        return exit_usage;
    }
    settings.platform = where.value();
    settings.seeds = others.value();
    settings.report = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(report_s));
    if (!defaults_file.empty())
    {
        std::ifstream in(defaults_file);
        std::ostringstream text;
        text << in.rdbuf();
        if (!in)
        {
            std::cerr << "--defaults cannot read " << defaults_file << "\n";
            return exit_usage;
        }
        settings.defaults = text.str();
    }
    start_log(format, "glenhollow-entry");
    auto node = entry_node::create(settings);
    if (!node)
    {
        std::cerr << node.error().text << "\n";
        return 1;
    }
    return node.value()->run();
}
