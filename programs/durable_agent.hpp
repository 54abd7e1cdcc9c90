#ifndef PROGRAMS_DURABLE_AGENT_HPP
#define PROGRAMS_DURABLE_AGENT_HPP

#include "glenhollow/hosting/job_host_server.hpp"
#include "glenhollow/runs/run_agent_service.hpp"
#include "platform/http_backend_client.hpp"
#include "platform/http_row_store.hpp"

#include <functional>
#include <string>
#include <vector>

namespace glenhollow
{

/// Settings of an agent that speaks to the platform's runner.
struct durable_agent_settings
{
    std::string name = "agent";        ///< Name of the machine.
    std::string zone = "zone";         ///< Where it stands.
    std::string address = "127.0.0.1"; ///< IP number for links.
    std::uint16_t rpc_port = 0;        ///< For links.
    std::uint16_t metrics_port = 0;    ///< For metrics.
    host_port registration;            ///< Where the runner registers.
    std::string server_service;        ///< Its service; empty: any.
    platform::http_backend_client_settings runner; ///< The runner.
    platform::row_store_settings store;            ///< The store.
    run_manager_settings manager;                  ///< Limits.
    report_pacing_settings service;                ///< Limits.
    job_host_settings host;                        ///< Of jobs of entries.
    job_host_server_settings host_server;          ///< Limits.
    duration grace = seconds{6};                   ///< From SIGTERM to the end.
};

/// Runs an agent until a planned stop.
/// @param settings Checked settings.
/// @param reload Reads the settings again, after SIGHUP.
/// @return The exit status.
int run_durable_agent(
    const durable_agent_settings& settings,
    const std::function<result<durable_agent_settings>()>& reload);

} // namespace glenhollow

#endif
