#include "glenhollow/journal/monitored_store.hpp"

#include "glenhollow/telemetry/log.hpp"

namespace glenhollow
{

monitored_store::monitored_store(const clock_source& clock, row_store& inner,
                                 duration failure_timeout)
    : clock_(clock), inner_(inner), failure_timeout_(failure_timeout),
      state_(std::make_shared<state>())
{
}

void monitored_store::record_result(const clock_source& clock, state& health,
                                    bool succeeded)
{
    if (succeeded)
    {
        if (health.failing_since.count() != 0)
            log_change(log_level::info, "store_available", {});
        health.answered_at = clock.now();
        health.failing_since = {};
        return;
    }
    if (health.failing_since.count() != 0)
        return;
    health.failing_since = clock.now();
    log_change(log_level::warning, "store_unavailable", {});
}

void monitored_store::commit(const row_transaction& change, commit_handler done)
{
    inner_.commit(change,
                  [this, shared_state = state_,
                   done = std::move(done)](commit_result response)
                  {
                      const bool succeeded =
                          response.outcome == store_outcome::done ||
                          response.outcome == store_outcome::conflict;
                      record_result(clock_, *shared_state, succeeded);
                      done(std::move(response));
                  });
}

void monitored_store::read(const row_range& range, read_handler done)
{
    inner_.read(range,
                [this, shared_state = state_,
                 done = std::move(done)](read_result response)
                {
                    record_result(clock_, *shared_state, response.answered);
                    done(std::move(response));
                });
}

void monitored_store::follow(const std::string& table, std::uint64_t after,
                             duration wait, feed_handler done)
{
    inner_.follow(table, after, wait, std::move(done));
}

bool monitored_store::reachable() const
{
    return state_->failing_since.count() == 0 ||
           clock_.now() - state_->failing_since < failure_timeout_;
}

} // namespace glenhollow
