#ifndef PROGRAMS_DURABLE_ENTRY_HPP
#define PROGRAMS_DURABLE_ENTRY_HPP

#include "glenhollow/durable/durable_service.hpp"
#include "glenhollow/http/intake_limits.hpp"
#include "platform/http_row_store.hpp"

#include <functional>
#include <string>
#include <vector>

namespace glenhollow
{

/// Settings of an entry that keeps its jobs in the platform's store.
struct durable_entry_settings
{
    std::string name = "entry";         ///< Name of the machine.
    std::string zone = "zone";          ///< Where it stands.
    std::string address = "127.0.0.1";  ///< IP number for links.
    std::uint16_t rpc_port = 0;         ///< For links.
    std::uint16_t metrics_port = 0;     ///< For metrics.
    host_port callers;                  ///< Where clients call.
    host_port readiness;                ///< Where readiness is asked.
    platform::row_store_settings store; ///< The store.
    std::vector<host_port> seeds;       ///< Entries that may be live.
    std::size_t parts = 3;              ///< Of the journal.
    duration grace = seconds{6};        ///< From SIGTERM to the end.
    double begin_by = 0.45;             ///< See job_coordinator_settings.
    unsigned review_ms = 10;            ///< See dispatcher_settings.
    unsigned warm_up_ms = 500;          ///< See early_request_settings.
    double late_reserve = 0.15;         ///< See dispatcher_settings.
    unsigned cancel_memory_s = 60;      ///< See cancel_cache_settings.
    server_order order = server_order::fastest; ///< See dispatcher_settings.
    bool own_placement = false;     ///< Never placed by another entry.
    job_handover_settings handover; ///< Of jobs to agents' processes.
    double cpu_share = 1.0;         ///< Of a core, for this process.
    double cores = 1.0;             ///< How many times as fast it runs.
    intake_resources resources;     ///< That the machine gives.
    double far_factor = 1.0;        ///< Time of a task far from its data,
                                    ///< over that near it.
};

/// Runs an entry until a planned stop.
/// @param settings Checked settings.
/// @param reload Reads the settings again, after SIGHUP.
/// @return The exit status.
int run_durable_entry(
    const durable_entry_settings& settings,
    const std::function<result<durable_entry_settings>()>& reload);

} // namespace glenhollow

#endif
