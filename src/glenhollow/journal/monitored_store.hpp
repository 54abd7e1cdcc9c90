#ifndef GLENHOLLOW_JOURNAL_MONITORED_STORE_HPP
#define GLENHOLLOW_JOURNAL_MONITORED_STORE_HPP

#include "glenhollow/core/clock.hpp"
#include "glenhollow/journal/row_store.hpp"

#include <memory>

namespace glenhollow
{

/// Forwards calls to a store and tracks whether it responds.
class monitored_store final : public row_store
{
public:
    /// @param clock Must outlive this object.
    /// @param inner Must outlive this object.
    /// @param failure_timeout Period of failures after which the store counts
    /// as unreachable.
    monitored_store(const clock_source& clock, row_store& inner,
                    duration failure_timeout);

    void commit(const row_transaction& change, commit_handler done) override;
    void read(const row_range& range, read_handler done) override;
    void follow(const std::string& table, std::uint64_t after, duration wait,
                feed_handler done) override;

    /// @return False once calls have failed for at least `failure_timeout`.
    bool reachable() const;

    /// @return Time of the last successful call.
    instant last_answer() const { return state_->answered_at; }

private:
    /// Health of the store.
    struct state
    {
        instant answered_at{};   ///< Last successful call.
        instant failing_since{}; ///< First failure since then; zero if none.
    };

    static void record_result(const clock_source& clock, state& health,
                              bool succeeded);

    const clock_source& clock_;
    row_store& inner_;
    duration failure_timeout_;
    std::shared_ptr<state> state_; ///< Shared with calls in flight.
};

} // namespace glenhollow

#endif
