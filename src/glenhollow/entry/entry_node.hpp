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
    std::string name = "entry";             ///< The entry VM's name.
    std::string hall = "hall";              ///< Where it stands.
    std::string address = "127.0.0.1";      ///< Where to listen, IP number.
    std::uint16_t http_port = 0;            ///< Callers; 0: the kernel picks.
    std::uint16_t rpc_port = 0;             ///< Entries; 0: the kernel picks.
    std::string port_file;                  ///< Gets `HTTP RPC`, if not empty.
    host_port platform;                     ///< The platform's services.
    std::vector<host_port> seeds;           ///< Entries to ask for members.
    std::uint32_t threads = 1;              ///< Traffic threads.
    std::string operator_tokens;            ///< NAME:TOKEN[,NAME:TOKEN...].
    std::string defaults;                   ///< `set` statements, one a line.
    std::string trace_file;                 ///< Spans go here, if not empty.
    double trace_share = 0;                 ///< Of traces begun here.
    std::size_t max_body_bytes = 8UL << 20; ///< Of one request.
    std::size_t ring_records = 262'144;     ///< Decisions kept, per thread.
    std::size_t own_hall_links = 4;   ///< Entries a runner has in its hall.
    std::size_t other_hall_links = 2; ///< Entries it has in other halls.
    duration report = seconds{60};    ///< Between writes of the report.
    double platform_reads_per_s = 6;  ///< A second, at most.
    double platform_writes_per_s = 2; ///< A second, at most.
};

/// One entry process: a control thread and traffic threads.
class entry_node final
{
public:
    /// @param settings Checked settings.
    /// @return The process, listening, or why it cannot.
    static result<std::unique_ptr<entry_node>>
    create(const entry_settings& settings);
    ~entry_node();

    /// Runs until a planned stop has ended or a part has failed.
    /// @return The exit status.
    int run();

private:
    struct state;
    explicit entry_node(std::unique_ptr<state> state);
    std::unique_ptr<state> state_; ///< Keeps Asio and KJ out of headers.
};

} // namespace glenhollow

#endif
