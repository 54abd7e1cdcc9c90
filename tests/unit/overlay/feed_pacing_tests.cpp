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

/// Answers a feed as soon as a row changes, like the platform's store.
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

    std::size_t feeds = 0; ///< Number of feed calls.

private:
    /// A feed call that waits for a change.
    struct waiting_feed
    {
        std::string table;
        std::uint64_t after = 0; ///< Version after which changes are wanted.
        feed_handler done;       ///< Receives the changes.
    };

    fake_row_store rows_;
    std::uint64_t newest_ = 0;
    std::vector<waiting_feed> waiting_;
};

/// Counts the feed calls of all readers while rows change one after another.
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
        followers.back()->set_min_gap(feed_interval({}, readers));
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
        CHECK(known.size() == changes); // No reader misses a change.
    return store.feeds - before;
}

} // namespace

// Guards against store calls that grow with readers times changes, as in a
// simultaneous start of many processes.
TEST_CASE("readers of a table that changes constantly share a call budget")
{
    constexpr std::size_t changes = 400;
    constexpr duration between = milliseconds{5};
    const auto spent = std::chrono::duration<double>(changes * between).count();
    constexpr double calls_per_s = 200; // Calls of all readers together.
    for (const std::size_t readers : {8, 50, 184})
    {
        const auto reads = reads_during_burst(readers, changes, between);
        // The first and the last change may cost each reader one more call.
        CHECK(static_cast<double>(reads) <=
              calls_per_s * spent + 3.0 * static_cast<double>(readers));
    }
}

TEST_CASE("the feed interval grows with the readers up to its maximum")
{
    CHECK(feed_interval({}, 3) == milliseconds{20});
    CHECK(feed_interval({}, 184) == milliseconds{920});
    CHECK(feed_interval({}, 734) < seconds{4});
    CHECK(feed_interval({}, 5000) == seconds{5});
}
