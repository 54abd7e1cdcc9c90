#ifndef GLENHOLLOW_TESTS_HOSTILE_HOSTILE_DEPLOYMENT_HPP
#define GLENHOLLOW_TESTS_HOSTILE_HOSTILE_DEPLOYMENT_HPP

#include "glenhollow/http/client.hpp"
#include "soak/child_process.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace glenhollow::hostile
{

/// Process under attack.
enum class target_process : std::uint8_t
{
    entry,
    agent
};

/// Port of a process.
enum class target_port : std::uint8_t
{
    callers,      ///< Entry: clients' requests.
    readiness,    ///< Entry: checks of the balancer.
    registration, ///< Agent: heartbeats of the backend server.
    metrics,      ///< Both: figures for operators.
    links         ///< Both: RPC of other processes.
};

/// Limits that both processes must keep.
struct process_limits
{
    std::size_t memory_mb = 96;    ///< Peak resident memory.
    std::size_t descriptors = 700; ///< Open descriptors, set as rlimit.
};

/// Resources that a process uses.
struct process_usage
{
    std::size_t peak_memory_mb = 0; ///< Peak resident memory.
    std::size_t descriptors = 0;    ///< Open descriptors.
};

/// A store, an entry, an agent and its backend server as processes on one
/// loopback address, all at ports picked by the kernel.
class hostile_deployment final
{
public:
    /// @param programs Folder of the programs.
    /// @param folder Folder for logs.
    hostile_deployment(const std::string& programs, const std::string& folder,
                       const process_limits& limits);

    /// Starts everything; returns once a job has succeeded.
    void begin();

    /// @return Address of a port.
    host_port address(target_process process, target_port port) const;

    /// @return Whether a process has neither ended nor been ended.
    bool lives(target_process process);

    /// @return Resources that a living process uses.
    process_usage usage(target_process process) const;

    /// Submits a best-effort job on a connection of its own.
    /// @return The HTTP status; nothing if there was no answer.
    std::optional<unsigned> submit_job();

private:
    soak::child_process& child(target_process process);
    const soak::child_process& child(target_process process) const;
    void write_configuration();

    process_limits limits_;
    std::string host_;
    host_port store_address_;
    host_port callers_;
    host_port readiness_;
    host_port registration_;
    host_port entry_metrics_;
    host_port agent_metrics_;
    host_port entry_links_;
    host_port agent_links_;
    std::uint64_t jobs_ = 0; ///< Number of submitted jobs.
    std::vector<std::unique_ptr<soak::child_process>> children_;
};

} // namespace glenhollow::hostile

#endif
