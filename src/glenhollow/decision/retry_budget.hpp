#ifndef GLENHOLLOW_DECISION_RETRY_BUDGET_HPP
#define GLENHOLLOW_DECISION_RETRY_BUDGET_HPP

#include "glenhollow/core/clock.hpp"
#include "glenhollow/core/random.hpp"

#include <cstddef>
#include <map>
#include <string>

namespace glenhollow
{

/// Limits of retries.
struct retry_settings
{
    double share = 0.1;         ///< Retries allowed per fresh task.
    double max_budget = 100;    ///< Budget saved up, retries.
    double initial_budget = 10; ///< Budget of a team that is new, retries.
    std::size_t attempts = 5;   ///< Of one task, the first included.
    duration initial_backoff = milliseconds{5}; ///< Doubles each time.
    duration max_backoff = milliseconds{200};   ///< The doubling ends here.
};

/// Retries of each team, bounded by a share of its fresh work, so that a
/// retry storm cannot arise. Pure state.
class retry_budget final
{
public:
    /// @param settings Limits.
    explicit retry_budget(const retry_settings& settings) : settings_(settings)
    {
    }

    /// @param settings New limits.
    void apply(const retry_settings& settings) { settings_ = settings; }

    /// Earns budget from fresh work.
    /// @param team Whose it is.
    /// @param tasks Fresh tasks admitted.
    void deposit(const std::string& team, std::size_t tasks);

    /// @param team Whose task is to be retried.
    /// @param attempts Attempts made so far.
    /// @return Whether one more attempt is allowed; it is paid for then.
    bool try_withdraw(const std::string& team, std::size_t attempts);

    /// @param attempts Attempts made so far, 1 or more.
    /// @param random Draws the jitter.
    /// @return How long to wait before the next one: full jitter below a
    /// doubling bound.
    duration backoff(std::size_t attempts, random_engine& random) const;

private:
    retry_settings settings_;              ///< Limits.
    std::map<std::string, double> budget_; ///< By team, retries.
};

} // namespace glenhollow

#endif
