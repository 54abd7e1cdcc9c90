#ifndef GLENHOLLOW_RUNS_SERVER_BREAKER_HPP
#define GLENHOLLOW_RUNS_SERVER_BREAKER_HPP

#include "glenhollow/core/clock.hpp"
#include "glenhollow/core/names.hpp"
#include "glenhollow/durable/durable_job.hpp"

#include <array>
#include <cstdint>
#include <string_view>

namespace glenhollow
{

/// State of a circuit breaker.
enum class breaker_state : std::uint8_t
{
    closed, ///< The server accepts work up to its capacity.
    open,   ///< The server gets no work.
    probing ///< The server gets one run at a time.
};

template <>
struct name_table<breaker_state>
{
    static constexpr std::array<std::string_view, 3> names{"closed", "open",
                                                           "probing"};
};

/// Settings of a circuit breaker.
struct server_breaker_settings
{
    /// Consecutive failures that open it.
    std::uint32_t failures_to_open = 3;
    /// Successful probes that close it.
    std::uint32_t successes_to_close = 2;
    /// Time in the open state before the first probe.
    duration min_open_time = milliseconds{400};
    /// Upper bound of that time after failed probes.
    duration max_open_time = milliseconds{1600};
};

/// Circuit breaker for one backend server, based on the ends of all its runs. A
/// server that fails or stalls may still report itself as healthy. Not thread-
/// safe.
class server_breaker final
{
public:
    /// @param settings Thresholds and times.
    explicit server_breaker(const server_breaker_settings& settings)
        : settings_(settings)
    {
    }

    /// Records the end of a run, or that it stalled.
    /// @param job Job of the run.
    /// @param failed Whether it failed or stalled.
    /// @param now Current time.
    /// @return Whether the state has changed.
    bool record_end(job_id job, bool failed, instant now);

    /// @param now Current time.
    /// @return The current state.
    breaker_state state(instant now) const;

    /// Closes the breaker, because the server has a new incarnation.
    void reset();

private:
    void open(instant now);

    server_breaker_settings settings_;
    bool closed_ = true;          ///< Neither open nor probing.
    std::uint32_t failures_ = 0;  ///< Consecutive failures.
    std::uint32_t successes_ = 0; ///< Successful probes.
    job_id last_failed_job_ = 0;  ///< Job of the last failure.
    bool several_jobs_ = false;   ///< The failures belong to several jobs.
    instant probing_from_{}; ///< Time when an open breaker begins to probe.
    duration open_time_{};   ///< Length of the last open period.
};

} // namespace glenhollow

#endif
