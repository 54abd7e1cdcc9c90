#ifndef GLENHOLLOW_RUNS_SERVER_PACE_HPP
#define GLENHOLLOW_RUNS_SERVER_PACE_HPP

#include <cstdint>

namespace glenhollow
{

/// Limits of an estimate of pace.
struct server_pace_settings
{
    double min_weight = 0.05;       ///< Of one more end, once many are known.
    double max_log_deviation = 0.7; ///< An end moves the estimate as if it were
                                    ///< a factor of two off (its logarithm) at
                                    ///< most: guesses are off by 40%.
    std::uint32_t min_ends = 3;     ///< Before anything is told.
};

/// How long runs take at a backend server, over what was expected of them: 1 at
/// a server of usual speed, 2 at one half as quick. The first ends weigh as
/// much as each other, later ones a twentieth; an end far off counts as less
/// far off, lest one bad guess or one pause of this process be taken for the
/// server's speed. It is a mean of logarithms: half as quick and twice as quick
/// cancel out. One thread.
class server_pace final
{
public:
    /// @param settings Limits.
    explicit server_pace(const server_pace_settings& settings = {})
        : settings_(settings)
    {
    }

    /// @param ratio Time of a run that ended well, over what was expected.
    void record(double ratio);

    /// Another life of the backend server, maybe of another kind.
    void reset();

    /// @return Whether enough ends have been seen.
    bool known() const { return ends_ >= settings_.min_ends; }

    /// @return The estimate; 1 before any end.
    double value() const;

    /// @return Ends that were taken.
    std::uint32_t ends() const { return ends_; }

private:
    server_pace_settings settings_; ///< Limits.
    double log_mean_ = 0;           ///< Of the estimate.
    std::uint32_t ends_ = 0;        ///< Taken.
};

} // namespace glenhollow

#endif
