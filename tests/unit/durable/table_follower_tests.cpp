#include "glenhollow/durable/table_follower.hpp"
#include "unit/support/fake_row_store.hpp"

#include <catch2/catch.hpp>

#include <map>

using namespace glenhollow;

namespace
{

/// Follower of one table and the rows that it reported.
struct follower_fixture
{
    follower_fixture()
    {
        follower = std::make_unique<table_follower>(
            store, loop.delay(), "op", table_follower_settings{},
            [this](const stored_row& row)
            {
                if (row.gone)
                    rows.erase(row.key.key);
                else
                    rows[row.key.key] = row.value;
            },
            [this](std::uint64_t version) { current = version; });
    }

    std::uint64_t put(const std::string& key, const std::string& value)
    {
        return store.put({"op", "", key}, value);
    }

    void remove(const std::string& key)
    {
        row_transaction change;
        change.removes.push_back({"op", "", key});
        store.commit(change, [](const commit_result&) {});
    }

    manual_loop loop;
    fake_row_store store{loop};
    std::map<std::string, std::string> rows;
    std::uint64_t current = 0;
    std::unique_ptr<table_follower> follower;
};

using row_map = std::map<std::string, std::string>;

} // namespace

TEST_CASE("rows are reported before the version up to which they are complete")
{
    follower_fixture fixture;
    fixture.put("a", "1");
    const auto newest = fixture.put("b", "2");
    fixture.store.page = 1; // One row per page.
    fixture.follower->begin();
    fixture.loop.advance(milliseconds{5});
    CHECK(fixture.current == 0); // More pages follow.
    fixture.loop.advance(milliseconds{50});
    CHECK(fixture.rows == row_map{{"a", "1"}, {"b", "2"}});
    CHECK(fixture.current == newest);
}

TEST_CASE("a row is reported as gone if the history lacks its removal")
{
    // Guards against a hall that gets no tasks after the end of its evacuation,
    // because the store no longer has the removal of the evacuation row.
    follower_fixture fixture;
    fixture.put("evacuate/hall-1", "{}");
    fixture.put("config", "1");
    fixture.follower->begin();
    fixture.loop.advance(milliseconds{20});
    REQUIRE(fixture.rows.size() == 2);
    fixture.remove("evacuate/hall-1");
    fixture.store.oldest_version =
        fixture.put("config", "2");    // Older history is gone.
    fixture.loop.advance(seconds{45}); // Two long polls.
    CHECK(fixture.rows == row_map{{"config", "2"}});
    CHECK(fixture.current == fixture.store.oldest_version);
}

TEST_CASE("the table is read again after the store was down")
{
    follower_fixture fixture;
    fixture.put("a", "1");
    fixture.follower->begin();
    fixture.loop.advance(milliseconds{20});
    fixture.store.down = true;
    fixture.loop.advance(seconds{25});
    fixture.remove("a");
    fixture.put("b", "2");
    fixture.store.down = false;
    fixture.remove("a");
    fixture.loop.advance(seconds{1});
    CHECK(fixture.rows == row_map{{"b", "2"}});
}
