#ifndef GLENHOLLOW_AGENT_AGENT_NODE_HPP
#define GLENHOLLOW_AGENT_AGENT_NODE_HPP

#include "glenhollow/agent/task_executor.hpp"
#include "glenhollow/core/result.hpp"
#include "glenhollow/http/client.hpp"

#include <cstdint>
#include <memory>
#include <string>

namespace glenhollow
{

/// Settings of one agent process.
struct agent_settings
{
    std::string name = "agent";          ///< The runner VM's name.
    std::string hall = "hall";           ///< Where it stands.
    std::string address = "127.0.0.1";   ///< Where to listen, IP number.
    std::uint16_t port = 0;              ///< RPC; 0: the kernel picks.
    std::uint16_t admin_port = 0;        ///< Metrics; 0: the kernel picks.
    std::string port_file;               ///< Gets `RPC ADMIN`, if not empty.
    host_port runner;                    ///< The runner beside it.
    std::size_t max_connections = 64;    ///< To the runner, at once.
    duration task_timeout = seconds{60}; ///< Of one call to the runner.
    task_executor_settings executor;     ///< Slots, queue and memory.
    std::string trace_file;              ///< Spans go here, if not empty.
};

/// One agent process: a control thread with signals and the admin pages, and
/// a traffic thread with the links and the runner.
class agent_node final
{
public:
    /// @param settings Checked settings.
    /// @return The process, listening, or why it cannot.
    static result<std::unique_ptr<agent_node>>
    create(const agent_settings& settings);
    ~agent_node();

    /// Runs until a planned stop has ended or a part has failed.
    /// @return The exit status.
    int run();

private:
    struct state;
    explicit agent_node(std::unique_ptr<state> state);
    std::unique_ptr<state> state_; ///< Keeps Asio and KJ out of headers.
};

} // namespace glenhollow

#endif
