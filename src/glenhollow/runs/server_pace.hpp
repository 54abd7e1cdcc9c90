#ifndef GLENHOLLOW_RUNS_SERVER_PACE_HPP
#define GLENHOLLOW_RUNS_SERVER_PACE_HPP

#include <cstdint>

namespace glenhollow
{

/// Settings of a pace estimate.
struct server_pace_settings
{
    /// Weight of a new end once many are recorded.
    double min_weight = 0.05;
    /// Bound of the deviation of one end from the estimate, as a natural
    /// logarithm: a factor of two. It limits the effect of estimates, which are
    /// off by up to 40%.
    double max_log_deviation = 0.7;
    /// Number of ends before the estimate is used.
    std::uint32_t min_ends = 3;
};

/// Estimates the pace of a backend server: measured over expected run time, 1
/// at normal speed and 2 at half the speed. It is a geometric mean: the first
/// ends have equal weight, later ones a constant weight, and outliers are
/// clamped, as they come from wrong estimates or pauses of this process. Not
/// thread-safe.
class server_pace final
{
public:
    /// @param settings Weights and bounds.
    explicit server_pace(const server_pace_settings& settings = {})
        : settings_(settings)
    {
    }

    /// Records the end of a run.
    /// @param ratio Measured over expected time of a run that succeeded.
    void record(double ratio);

    /// Discards the estimate, because a new incarnation may differ in speed.
    void reset();

    /// @return Whether enough ends are recorded.
    bool known() const { return ends_ >= settings_.min_ends; }

    /// @return The estimate; 1 before the first end.
    double value() const;

    /// @return Number of recorded ends.
    std::uint32_t ends() const { return ends_; }

private:
    server_pace_settings settings_;
    double log_mean_ = 0;    ///< Natural logarithm of the estimate.
    std::uint32_t ends_ = 0; ///< Number of recorded ends.
};

} // namespace glenhollow

#endif
