#include "glenhollow/journal/watched_store.hpp"

#include "glenhollow/telemetry/log.hpp"

namespace glenhollow
{

watched_store::watched_store(const clock_source& clock, row_store& inner,
                             duration patience)
    : clock_(clock), inner_(inner), patience_(patience),
      state_(std::make_shared<state>())
{
}

void watched_store::note(const clock_source& clock, state& of, bool good)
{
    if (good)
    {
        if (of.failing_since.count() != 0)
            log_change(log_level::info, "store_answers", {});
        of.answered = clock.now();
        of.failing_since = {};
        return;
    }
    if (of.failing_since.count() != 0)
        return;
    of.failing_since = clock.now();
    log_change(log_level::warning, "store_fails", {});
}

void watched_store::commit(const row_transaction& change, commit_handler done)
{
    inner_.commit(
        change,
        [this, kept = state_, done = std::move(done)](commit_result got)
        {
            const bool good = got.outcome == store_outcome::done ||
                              got.outcome == store_outcome::conflict;
            note(clock_, *kept, good);
            done(std::move(got));
        });
}

void watched_store::read(const row_range& range, read_handler done)
{
    inner_.read(range,
                [this, kept = state_, done = std::move(done)](read_result got)
                {
                    note(clock_, *kept, got.answered);
                    done(std::move(got));
                });
}

void watched_store::follow(const std::string& table, std::uint64_t after,
                           duration wait, feed_handler done)
{
    inner_.follow(table, after, wait, std::move(done));
}

bool watched_store::reachable() const
{
    return state_->failing_since.count() == 0 ||
           clock_.now() - state_->failing_since < patience_;
}

} // namespace glenhollow
