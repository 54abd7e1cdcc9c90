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

/// Whether a runner is given work.
enum class breaker_state : std::uint8_t
{
    closed, ///< As much as it has room for.
    open,   ///< None.
    probing ///< One run at a time.
};

template <>
struct name_table<breaker_state>
{
    static constexpr std::array<std::string_view, 3> names{"closed", "open",
                                                           "probing"};
};

/// Limits of a breaker.
struct server_breaker_settings
{
    std::uint32_t failures_to_open = 3;          ///< Bad ends until it opens.
    std::uint32_t successes_to_close = 2;        ///< Good ends of probes.
    duration min_open_time = milliseconds{400};  ///< Until the first probe.
    duration max_open_time = milliseconds{1600}; ///< After bad probes.
};

/// Judges a runner by the ends of all its runs. Its agent sees them all, so it
/// knows of a runner that fails or stands still long before any one entry
/// could; it says good things of itself meanwhile. One thread.
class server_breaker final
{
public:
    /// @param settings Limits.
    explicit server_breaker(const server_breaker_settings& settings)
        : settings_(settings)
    {
    }

    /// A run has ended, or was stopped for want of progress.
    /// @param job Whose.
    /// @param bad Whether it failed or stood still.
    /// @param now The time.
    /// @return Whether the state has changed by it.
    bool record_end(job_id job, bool failed, instant now);

    /// @param now The time.
    /// @return Whether the runner is given work.
    breaker_state state(instant now) const;

    /// The runner has a new life.
    void reset();

private:
    void open(instant now);

    server_breaker_settings settings_; ///< Limits.
    bool closed_ = true;               ///< Neither open nor probing.
    std::uint32_t failures_ = 0;       ///< Bad ends in a row.
    std::uint32_t successes_ = 0;      ///< Good ends of probes.
    job_id last_failed_job_ = 0;       ///< Whose the first bad end was.
    bool several_jobs_ = false;        ///< Bad ends are of several jobs.
    instant probing_from_{};           ///< While not closed: the next probe.
    duration open_time_{};             ///< The last wait.
};

} // namespace glenhollow

#endif
