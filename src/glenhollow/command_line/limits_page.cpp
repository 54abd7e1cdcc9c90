#include "glenhollow/command_line/limits_page.hpp"

#include "glenhollow/durable/job_coordinator.hpp"
#include "glenhollow/http/server.hpp"
#include "glenhollow/rpc/rpc_listener.hpp"

#include <string_view>

namespace glenhollow
{

namespace
{

std::string row(std::string_view what, std::string_view limit,
                std::string_view beyond)
{
    return "| " + std::string(what) + " | " + std::string(limit) + " | " +
           std::string(beyond) + " |\n";
}

std::string kib(std::size_t bytes)
{
    return std::to_string(bytes >> 10) + " KiB";
}

std::string whole_seconds(duration length)
{
    return std::to_string(std::chrono::duration_cast<seconds>(length).count()) +
           " s";
}

} // namespace

std::string limits_page()
{
    const http_server_settings callers;
    const auto small = small_server_settings();
    const rpc_listener_settings links;
    const job_coordinator_settings jobs;
    std::string page =
        "\n## Limits of what may be sent\n\n"
        "They keep a process within its machine whatever is sent to it. The\n"
        "callers' port also has the bounds that follow from `memory-mb`,\n"
        "`max-fds` and `link-mbps` ([design/intake.md](design/intake.md)).\n\n"
        "| what | limit | beyond it |\n"
        "| --- | --- | --- |\n";
    page += row("header of a request, and separately the trailers and the "
                "line that begins a chunk",
                kib(callers.max_header_bytes), "431, the connection ends");
    page += row("fields of a header", std::to_string(callers.max_header_fields),
                "431, the connection ends");
    page += row("body at the ports for readiness, metrics and registration",
                kib(small.max_body_bytes), "413, the connection ends");
    page +=
        row("connections at each of these ports",
            std::to_string(small.max_connections), "as at the callers' port");
    page += row("wait for a request before its connection may be replaced, "
                "where there is no room for a new one",
                whole_seconds(callers.reclaim_after),
                "the one that has waited longest is closed; before, the new "
                "one");
    page += row("tasks of all open jobs of an entry or a host",
                std::to_string(jobs.max_open_tasks) +
                    "; with `memory-mb`, a quarter of what it leaves beyond "
                    "64 MB, at 600 bytes a task",
                "503, not run, unless no other job is open");
    page += row("connections at the port for links",
                "a quarter of the descriptors that the process may open, 64 "
                "to 4096",
                "the oldest that has sent nothing for " +
                    whole_seconds(links.reclaim_after) +
                    " is closed, otherwise the new one");
    page += row("message of a link", kib(links.max_message_bytes),
                "the connection ends");
    page += row("messages of " + kib(large_reads::threshold_bytes) +
                    " and more that are arriving at the port for links",
                kib(links.large_messages.max_bytes) + " together",
                "the connection of the oldest that has been arriving for " +
                    whole_seconds(links.large_messages.patience) +
                    " ends, otherwise the new one's");
    return page;
}

} // namespace glenhollow
