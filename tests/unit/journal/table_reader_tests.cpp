// Guards against rows that are taken for absent because a page did not hold
// them: an owner that does not know an agent does not wait for its runs.
#include "glenhollow/durable/part_loader.hpp"
#include "glenhollow/journal/table_reader.hpp"
#include "unit/support/fake_row_store.hpp"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace glenhollow;

namespace
{

/// A table and what was read of it.
struct reader_fixture
{
    void put(const std::string& key) { store.put({"members", "", key}, "{}"); }

    void read()
    {
        read_table(
            store, "members", "",
            [this](const stored_row& row) { keys.push_back(row.key.key); },
            [this](std::optional<std::uint64_t> version)
            {
                ended = true;
                complete = version.has_value();
            });
        loop.advance(milliseconds{200});
    }

    manual_loop loop;
    fake_row_store store{loop};
    std::vector<std::string> keys;
    bool ended = false;
    bool complete = false;
};

} // namespace

TEST_CASE("keys that continue the last key of a page are read",
          "[table_reader]")
{
    reader_fixture fixture;
    const std::vector<std::string> names{"agent-1",   "agent-1 b", "agent-1-2",
                                         "agent-1.c", "agent-10",  "agent-2"};
    for (const auto& name : names)
        fixture.put(name);
    fixture.store.page = GENERATE(1, 2, 3);
    fixture.read();
    CHECK(fixture.complete);
    CHECK(fixture.keys == names);
}

TEST_CASE("a table whose pages bring no further rows was not read",
          "[table_reader]")
{
    reader_fixture fixture;
    fixture.put("agent-1");
    fixture.put("agent-2");
    fixture.store.page = 0;
    fixture.read();
    CHECK(fixture.ended);
    CHECK_FALSE(fixture.complete);
}

TEST_CASE("an owner knows all agents, however their names continue each other",
          "[table_reader]")
{
    reader_fixture fixture;
    for (const auto* name : {"side-1", "side-1-b", "side-2"})
        fixture.store.put({"members", "", name},
                          R"(["agent","127.0.0.1:7720"])");
    fixture.store.page = 1;
    std::optional<loaded_part> loaded;
    load_part(fixture.store, 0,
              [&](std::optional<loaded_part> got) { loaded = std::move(got); });
    fixture.loop.advance(milliseconds{200});
    REQUIRE(loaded);
    CHECK(loaded->agents ==
          std::set<std::string>{"side-1", "side-1-b", "side-2"});
}
