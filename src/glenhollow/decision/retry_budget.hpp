#ifndef GLENHOLLOW_DECISION_RETRY_BUDGET_HPP
#define GLENHOLLOW_DECISION_RETRY_BUDGET_HPP

#include "glenhollow/core/clock.hpp"
#include "glenhollow/core/random.hpp"

#include <cstddef>
#include <map>
#include <string>

namespace glenhollow
{

/// Limits on the retries of tasks.
struct retry_settings
{
    double share = 0.1;           ///< Retries earned per admitted task.
    double max_budget = 100;      ///< Upper bound of the budget, retries.
    double initial_budget = 10;   ///< Budget of a new client account, retries.
    std::size_t max_attempts = 5; ///< Attempts per task, including the first.
    duration initial_backoff = milliseconds{5}; ///< Doubled on each retry.
    duration max_backoff = milliseconds{200}; ///< Upper bound of the doubling.
};

/// Bounds the retries of each client account to a fraction of its admitted
/// tasks, which prevents retry storms. The class does no I/O.
class retry_budget final
{
public:
    /// Creates the budgets; each account starts with initial_budget.
    explicit retry_budget(const retry_settings& settings) : settings_(settings)
    {
    }

    /// Replaces the settings; current budgets are kept.
    void apply(const retry_settings& settings) { settings_ = settings; }

    /// Adds to the budget of a client account for newly admitted tasks.
    /// @param team The client account.
    /// @param tasks Number of tasks admitted.
    void deposit(const std::string& team, std::size_t tasks);

    /// Withdraws one retry from the budget of a client account.
    /// @param team The client account.
    /// @param attempts Number of attempts made for the task.
    /// @return Whether the retry is allowed; otherwise nothing is withdrawn.
    bool try_withdraw(const std::string& team, std::size_t attempts);

    /// Returns the backoff before the next attempt: exponential with full
    /// jitter.
    /// @param attempts Number of attempts made for the task, at least 1.
    /// @param random Generator for the jitter.
    duration backoff(std::size_t attempts, random_engine& random) const;

private:
    retry_settings settings_;              ///< Current settings.
    std::map<std::string, double> budget_; ///< Retries left, by account.
};

} // namespace glenhollow

#endif
