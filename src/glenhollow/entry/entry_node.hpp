#ifndef GLENHOLLOW_ENTRY_ENTRY_NODE_HPP
#define GLENHOLLOW_ENTRY_ENTRY_NODE_HPP

#include "glenhollow/core/clock.hpp"
#include "glenhollow/core/result.hpp"
#include "glenhollow/http/client.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace glenhollow
{

/// Settings of one entry process.
struct entry_settings
{
    std::string name = "entry";        ///< The entry VM's name.
    std::string hall = "hall";         ///< The entry's hall.
    std::string address = "127.0.0.1"; ///< IP address to listen on.
    std::uint16_t http_port = 0;       ///< Port for callers; 0: any.
    std::uint16_t rpc_port = 0;        ///< Port for entries; 0: any.
    std::string port_file;             ///< Receives both ports; may be empty.
    host_port platform;                ///< Address of the platform's services.
    std::vector<host_port> seeds;      ///< Entries asked for members.
    std::uint32_t threads = 1;         ///< Number of traffic threads.
    std::string operator_tokens;       ///< `NAME:TOKEN[,NAME:TOKEN...]`.
    std::string defaults;              ///< `set` statements, one a line.
    std::string trace_file;            ///< Receives spans; may be empty.
    double trace_share = 0;            ///< Sampled share of traces, 0 to 1.
    std::size_t max_body_bytes = 8UL << 20; ///< Largest request body in bytes.
    std::size_t ring_records = 262'144; ///< Decisions kept per traffic thread.
    std::size_t own_hall_links = 4;     ///< Entries per agent, same hall.
    std::size_t other_hall_links = 2;   ///< Entries per agent, other halls.
    duration report = seconds{60};      ///< Interval of report writes.
    double platform_reads_per_s = 6;    ///< Rate limit of platform reads.
    double platform_writes_per_s = 2;   ///< Rate limit of platform writes.
};

/// One entry process: a control thread and one or more traffic threads.
class entry_node final
{
public:
    /// @param settings Validated settings.
    /// @return A node that listens on its ports, or the error.
    static result<std::unique_ptr<entry_node>>
    create(const entry_settings& settings);
    ~entry_node();

    /// Runs until a planned stop has ended or a supervised task has failed.
    /// @return The exit status of the process.
    int run();

private:
    struct state;
    explicit entry_node(std::unique_ptr<state> state);
    std::unique_ptr<state> state_; ///< Keeps Asio and KJ out of headers.
};

} // namespace glenhollow

#endif
