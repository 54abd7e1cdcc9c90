#include "glenhollow/durable/table_follower.hpp"
#include "unit/support/fake_row_store.hpp"

#include <catch2/catch.hpp>

#include <map>

using namespace glenhollow;

namespace
{

/// A follower of one table, with what it was told.
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

TEST_CASE("rows are told, then the version up to which all were told")
{
    follower_fixture fixture;
    fixture.put("a", "1");
    const auto newest = fixture.put("b", "2");
    fixture.store.page = 1; // Each row on a page of its own.
    fixture.follower->begin();
    fixture.loop.advance(milliseconds{5});
    CHECK(fixture.current == 0); // More pages are to come.
    fixture.loop.advance(milliseconds{50});
    CHECK(fixture.rows == row_map{{"a", "1"}, {"b", "2"}});
    CHECK(fixture.current == newest);
}

TEST_CASE("a row that was removed in history that is gone is told as gone")
{
    // An evacuation that ended while the store forgot its history would have
    // kept a hall without work for good.
    follower_fixture fixture;
    fixture.put("evacuate/hall-1", "{}");
    fixture.put("config", "1");
    fixture.follower->begin();
    fixture.loop.advance(milliseconds{20});
    REQUIRE(fixture.rows.size() == 2);
    fixture.remove("evacuate/hall-1");
    fixture.store.oldest_version =
        fixture.put("config", "2");    // All before it is gone.
    fixture.loop.advance(seconds{45}); // Two long waits.
    CHECK(fixture.rows == row_map{{"config", "2"}});
    CHECK(fixture.current == fixture.store.oldest_version);
}

TEST_CASE("after the store was away the table is read anew")
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
