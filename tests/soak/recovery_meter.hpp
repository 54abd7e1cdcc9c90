#ifndef GLENHOLLOW_TESTS_SOAK_RECOVERY_METER_HPP
#define GLENHOLLOW_TESTS_SOAK_RECOVERY_METER_HPP

#include "glenhollow/core/clock.hpp"

#include <map>
#include <optional>
#include <string>

namespace glenhollow::soak
{

/// Measures how long after the last fault until nine tenths of the jobs are
/// served in time.
class recovery_meter final
{
public:
    /// A job is sent for the first time.
    /// @param id The job.
    /// @param at When.
    /// @param bound It is served in time if it takes no longer.
    void sent(const std::string& id, instant at, duration bound);

    /// A job was shown as succeeded.
    /// @param id The job.
    /// @param at When.
    void served(const std::string& id, instant at);

    /// A job was given up by its own client and counts no more.
    /// @param id The job.
    void left_out(const std::string& id);

    /// @param calm When the last fault ended.
    /// @param now Jobs that could still be served in time then don't count.
    /// @return From there to the first second of jobs of which nine tenths
    /// were served in time; nothing where there was none.
    std::optional<duration> recovered(instant calm, instant now) const;

private:
    /// One job.
    struct job
    {
        instant sent{};      ///< First.
        duration bound{};    ///< To be in time.
        bool timely = false; ///< Served so.
    };

    std::map<std::string, job> jobs_; ///< By id.
};

} // namespace glenhollow::soak

#endif
