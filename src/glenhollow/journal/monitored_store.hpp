#ifndef GLENHOLLOW_JOURNAL_MONITORED_STORE_HPP
#define GLENHOLLOW_JOURNAL_MONITORED_STORE_HPP

#include "glenhollow/core/clock.hpp"
#include "glenhollow/journal/row_store.hpp"

#include <memory>

namespace glenhollow
{

/// Passes calls on and remembers whether the store answers.
class monitored_store final : public row_store
{
public:
    /// @param clock Outlives it.
    /// @param inner The store; outlives it.
    /// @param patience Failures for so long make the store unreachable.
    monitored_store(const clock_source& clock, row_store& inner,
                    duration failure_timeout);

    void commit(const row_transaction& change, commit_handler done) override;
    void read(const row_range& range, read_handler done) override;
    void follow(const std::string& table, std::uint64_t after, duration wait,
                feed_handler done) override;

    /// @return Whether the store answers this process.
    bool reachable() const;

    /// @return When it last answered.
    instant last_answer() const { return state_->answered; }

private:
    /// Shared with calls that are out.
    struct state
    {
        instant answered{};      ///< Last good answer.
        instant failing_since{}; ///< First failure after it; zero: none.
    };

    static void record_result(const clock_source& clock, state& health,
                              bool succeeded);

    const clock_source& clock_;    ///< This process's.
    row_store& inner_;             ///< The store.
    duration failure_timeout_;     ///< See the constructor.
    std::shared_ptr<state> state_; ///< What was seen.
};

} // namespace glenhollow

#endif
