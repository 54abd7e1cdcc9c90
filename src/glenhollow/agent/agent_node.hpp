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
    std::string name = "agent";        ///< Name of the backend server's VM.
    std::string hall = "hall";         ///< Hall of the VM.
    std::string address = "127.0.0.1"; ///< IP address to listen on.
    std::uint16_t port = 0;            ///< RPC port; 0 picks a free one.
    std::uint16_t admin_port = 0;      ///< Admin HTTP port; 0 picks a free one.
    std::string port_file;             ///< File for both ports; empty: none.
    host_port runner;                  ///< Address of the backend server.
    std::size_t max_connections = 64;  ///< Connections to the backend server.
    duration task_timeout = seconds{60}; ///< Time limit of one task call.
    task_executor_settings executor;     ///< Limits of slots, queue and memory.
    std::string trace_file;              ///< File for trace spans; empty: none.
};

/// One agent process. Its control thread handles signals and the admin HTTP
/// server; its traffic thread serves entries and calls the backend server.
class agent_node final
{
public:
    /// Opens the trace file and the listening ports.
    /// @param settings Validated settings.
    /// @return The process, or the error that kept it from listening.
    static result<std::unique_ptr<agent_node>>
    create(const agent_settings& settings);
    ~agent_node();

    /// Runs until a graceful shutdown has completed or a supervised task has
    /// failed for good.
    /// @return The exit status of the process.
    int run();

private:
    struct state;
    explicit agent_node(std::unique_ptr<state> state);
    std::unique_ptr<state> state_; ///< Hides Asio and KJ from the header.
};

} // namespace glenhollow

#endif
