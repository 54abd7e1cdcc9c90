// Member rows of the deployment's processes.
#include "glenhollow/durable/member_directory.hpp"
#include "unit/support/fake_row_store.hpp"

#include <catch2/catch.hpp>

using namespace glenhollow;

namespace
{

/// A store, and processes of one agent that write its row.
struct member_fixture
{
    void begin()
    {
        announcer = std::make_unique<member_announcer>(
            store, loop.delay(),
            member_row{"agent-1", member_role::agent, {"127.0.0.1", 7000}, {}});
        announcer->begin([this](const std::string& memo)
                         { memos.push_back(memo); });
        loop.advance(milliseconds{100});
    }

    member_row row()
    {
        std::optional<member_row> found;
        store.read({std::string(members_table), {}, "agent-1", {}, 1},
                   [&](const read_result& got)
                   {
                       if (!got.rows.empty())
                           found = decode_member(got.rows.front()).value();
                   });
        loop.advance(milliseconds{50});
        REQUIRE(found);
        return *found;
    }

    manual_loop loop;
    fake_row_store store{loop};
    std::unique_ptr<member_announcer> announcer;
    std::vector<std::string> memos;
};

} // namespace

TEST_CASE("a member's next process gets the memo of its previous one")
{
    member_fixture fixture;
    fixture.begin();
    CHECK(fixture.memos.empty());
    CHECK(fixture.row().memo.empty());
    fixture.announcer->keep("life-1");
    fixture.loop.advance(seconds{3});
    CHECK(fixture.row().memo == "life-1");
    const auto writes = fixture.store.transactions.size();
    fixture.begin();
    CHECK(fixture.memos == std::vector<std::string>{"life-1"});
    CHECK(fixture.row().memo == "life-1");
    CHECK(fixture.row().where.port == 7000);
    // An unchanged memo is not written again.
    fixture.announcer->keep("life-1");
    fixture.loop.advance(seconds{3});
    CHECK(fixture.store.transactions.size() == writes);
}

TEST_CASE("memos that change often are written rarely")
{
    member_fixture fixture;
    fixture.begin();
    const auto writes = fixture.store.transactions.size();
    for (int i = 0; i < 40; ++i)
    {
        fixture.announcer->keep("life-" + std::to_string(i));
        fixture.loop.advance(milliseconds{100});
    }
    fixture.loop.advance(seconds{3});
    CHECK(fixture.row().memo == "life-39");
    CHECK(fixture.store.transactions.size() - writes <= 3);
}

TEST_CASE("a memo is written after the store was down")
{
    member_fixture fixture;
    fixture.begin();
    fixture.store.down = true;
    fixture.announcer->keep("life-1");
    fixture.loop.advance(seconds{5});
    fixture.store.down = false;
    fixture.loop.advance(seconds{1});
    CHECK(fixture.row().memo == "life-1");
}
