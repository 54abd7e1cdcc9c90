#ifndef GLENHOLLOW_RUNS_SERVER_ACCOUNT_HPP
#define GLENHOLLOW_RUNS_SERVER_ACCOUNT_HPP

#include "glenhollow/core/clock.hpp"
#include "glenhollow/core/names.hpp"
#include "glenhollow/durable/durable_job.hpp"
#include "glenhollow/runs/server_incarnation.hpp"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace glenhollow
{

/// Whether a backend server accepts work.
enum class server_phase : std::uint8_t
{
    absent,  ///< Not registered, or not answering.
    ready,   ///< Accepts starts.
    draining ///< Lets runs finish, accepts no starts.
};

template <>
struct name_table<server_phase>
{
    static constexpr std::array<std::string_view, 3> names{"absent", "ready",
                                                           "draining"};
};

/// What a backend server reports about itself in its heartbeats.
struct server_account
{
    std::string service; ///< Name of the service that it provides.
    /// Identifier; several incarnations may use the same one.
    std::string instance;
    /// Start time, Unix ms by its own clock; 0: unknown.
    std::int64_t born_ms = 0;
    std::uint64_t sequence = 0; ///< Heartbeat number within the incarnation.
    std::string zone;           ///< Hall of the backend server.
    std::vector<std::string> labels; ///< Labels such as its kind and rack.
    resources capacity;              ///< Total resources, used and free.
    server_phase phase = server_phase::absent; ///< Whether it accepts work.
    /// Earliest shutdown time by the agent's clock; all runs end with it.
    std::optional<instant> leaves_at;
    instant cold_until{}; ///< End of the slow warm-up after its start.

    /// @return The incarnation that sent this account.
    server_incarnation incarnation() const { return {instance, born_ms}; }
};

/// Times that a backend server reports with its account.
struct server_timing
{
    /// Server clock at the time of the report; 0: unknown.
    std::int64_t clock_ms = 0;
    std::optional<duration> remaining; ///< Minimum time until it shuts down.
    duration cold{};                   ///< Remaining warm-up time.
};

/// Load of a backend server as its agent reports it.
struct server_load
{
    /// Resources of starting, running, stopping and waiting runs.
    resources used;
    /// Number of orders that wait for free capacity.
    std::uint32_t waiting = 0;
    /// Minimum time until the announced shutdown.
    std::optional<duration> leaves_in;
    duration cold{}; ///< Remaining warm-up time.
    double pace = 0; ///< Measured over expected run time; 0: unknown.
};

} // namespace glenhollow

#endif
