#include "glenhollow/overlay/feed_pacing.hpp"

#include "glenhollow/durable/table_follower.hpp"
#include "unit/support/fake_row_store.hpp"

#include <catch2/catch.hpp>

#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace glenhollow;

namespace
{

/// Answers a feed as soon as a row changes, as the platform's store does.
class long_poll_store final : public row_store
{
public:
    explicit long_poll_store(manual_loop& loop) : rows_(loop) {}

    void commit(const row_transaction& change, commit_handler done) override
    {
        rows_.commit(change, std::move(done));
    }

    void read(const row_range& range, read_handler done) override
    {
        rows_.read(range, std::move(done));
    }

    void follow(const std::string& table, std::uint64_t after, duration wait,
                feed_handler done) override
    {
        ++feeds;
        if (newest_ > after)
            return rows_.follow(table, after, wait, std::move(done));
        waiting_.push_back({table, after, std::move(done)});
    }

    void put(const row_key& key)
    {
        newest_ = rows_.put(key, "x");
        for (auto& one : std::exchange(waiting_, {}))
            rows_.follow(one.table, one.after, {}, std::move(one.done));
    }

    std::size_t feeds = 0; ///< Calls.

private:
    /// One that waits for a change.
    struct waiting_feed
    {
        std::string table;       ///< Kind of row.
        std::uint64_t after = 0; ///< Version.
        feed_handler done;       ///< Told of changes.
    };

    fake_row_store rows_;
    std::uint64_t newest_ = 0;
    std::vector<waiting_feed> waiting_;
};

/// Counts the calls that readers make while one row after the other changes.
std::size_t reads_during_burst(std::size_t readers, std::size_t changes,
                               duration between)
{
    manual_loop loop;
    long_poll_store store(loop);
    std::vector<std::unique_ptr<table_follower>> followers;
    std::vector<std::set<std::string>> rows(readers);
    for (std::size_t i = 0; i < readers; ++i)
    {
        followers.push_back(std::make_unique<table_follower>(
            store, loop.delay(), "members", table_follower_settings{},
            [&rows, i](const stored_row& row)
            { rows[i].insert(row.key.key); }));
        followers.back()->pace(feed_interval({}, readers));
        followers.back()->begin();
    }
    loop.advance(seconds{1});
    const auto before = store.feeds;
    for (std::size_t i = 0; i < changes; ++i)
    {
        store.put({"members", "", "member-" + std::to_string(i)});
        loop.advance(between);
    }
    loop.advance(2 * feed_interval({}, readers));
    for (const auto& known : rows)
        CHECK(known.size() == changes); // Nobody misses one.
    return store.feeds - before;
}

} // namespace

// At the start of 1,000 processes each of 184 entries read each of their rows
// by itself.
TEST_CASE("readers of a table that changes all the time share a budget")
{
    constexpr std::size_t changes = 400;
    constexpr duration between = milliseconds{5};
    const auto spent = std::chrono::duration<double>(changes * between).count();
    constexpr double calls_per_s = 200; // Of all readers.
    for (const std::size_t readers : {8, 50, 184})
    {
        const auto reads = reads_during_burst(readers, changes, between);
        // The first and the last change may cost each reader one call more.
        CHECK(static_cast<double>(reads) <=
              calls_per_s * spent + 3.0 * static_cast<double>(readers));
    }
}

TEST_CASE("few readers hear of a change at once, many within seconds")
{
    CHECK(feed_interval({}, 3) == milliseconds{20});
    CHECK(feed_interval({}, 184) == milliseconds{920});
    CHECK(feed_interval({}, 734) < seconds{4});
    CHECK(feed_interval({}, 5000) == seconds{5});
}
