#include "glenhollow/journal/journal_chain.hpp"
#include "unit/support/fake_row_store.hpp"

#include <catch2/catch.hpp>

using namespace glenhollow;

namespace
{

/// A journal chain on a store with fault injection.
struct chain_fixture
{
    chain_fixture()
    {
        head.owner = "entry-1";
        head.incarnation = 11;
        head.epoch = 3;
        head.version = store.put(head_key(0), encode_head(head));
        make_chain();
    }

    void make_chain()
    {
        chain = std::make_unique<journal_chain>(store, loop.delay(), 0, head,
                                                journal_chain_settings{},
                                                [this] { ++lost; });
    }

    static row_key row(const std::string& key)
    {
        return {"jobs", part_name(0), key};
    }

    void write(const std::string& key, bool droppable = false)
    {
        journal_entry entry;
        entry.puts.push_back({row(key), "value-" + key});
        entry.droppable = droppable;
        entry.done = [this, key](journal_outcome outcome)
        { outcomes[key] = outcome; };
        chain->append(std::move(entry));
    }

    manual_loop loop;
    fake_row_store store{loop};
    chain_head head;
    std::unique_ptr<journal_chain> chain;
    std::map<std::string, journal_outcome> outcomes;
    int lost = 0;
};

} // namespace

TEST_CASE(
    "entries appended while a transaction is in flight share the next one")
{
    chain_fixture fixture;
    for (const auto* key : {"a", "b", "c", "d"})
        fixture.write(key);
    fixture.loop.advance(milliseconds{50});
    CHECK(fixture.store.transactions.size() == 2);
    CHECK(fixture.outcomes.size() == 4);
    CHECK(fixture.chain->idle());
    CHECK(fixture.store.find(chain_fixture::row("d")));
}

TEST_CASE("a batch does not exceed the row limit of a transaction")
{
    chain_fixture fixture;
    for (int i = 0; i < 250; ++i)
        fixture.write("key" + std::to_string(i));
    fixture.loop.advance(seconds{1});
    CHECK(fixture.outcomes.size() == 250);
    for (const auto& change : fixture.store.transactions)
        CHECK(change.puts.size() + change.removes.size() +
                  change.expected.size() <=
              max_transaction_rows);
}

TEST_CASE(
    "a row written and removed in one batch occurs once in the transaction")
{
    chain_fixture fixture;
    fixture.write("first");
    fixture.write("a");
    journal_entry entry;
    entry.removes.push_back(chain_fixture::row("a"));
    fixture.chain->append(std::move(entry));
    fixture.loop.advance(milliseconds{50});
    REQUIRE(fixture.store.transactions.size() == 2);
    CHECK(fixture.store.transactions[1].puts.size() == 1); // Head row.
    CHECK(fixture.store.transactions[1].removes.size() == 1);
}

TEST_CASE("a commit with a lost response is confirmed by the head row")
{
    chain_fixture fixture;
    fixture.store.lose_answers = 1;
    fixture.write("a");
    fixture.loop.advance(milliseconds{200});
    CHECK(fixture.outcomes.at("a") == journal_outcome::durable);
    CHECK(fixture.chain->stats().confirmed_by_head == 1);
    CHECK(fixture.lost == 0);
}

TEST_CASE("a delayed transaction conflicts after a newer commit")
{
    chain_fixture fixture;
    fixture.store.hold_commits = true;
    fixture.write("a");
    fixture.loop.advance(milliseconds{10});
    fixture.store.hold_commits = false;
    fixture.loop.advance(milliseconds{300});
    REQUIRE(fixture.outcomes.at("a") == journal_outcome::durable);
    journal_entry entry;
    entry.removes.push_back(chain_fixture::row("a"));
    fixture.chain->append(std::move(entry));
    fixture.loop.advance(milliseconds{50});
    for (const auto& end : fixture.store.release_held())
        CHECK(end.outcome == store_outcome::conflict);
    CHECK_FALSE(fixture.store.find(chain_fixture::row("a")));
}

TEST_CASE("a previous owner's write conflicts and reports the loss of the part")
{
    chain_fixture fixture;
    auto successor = fixture.head;
    successor.owner = "entry-2";
    successor.incarnation = 22;
    successor.epoch = 4;
    fixture.store.put(head_key(0), encode_head(successor));
    fixture.write("a");
    fixture.loop.advance(milliseconds{50});
    CHECK(fixture.lost == 1);
    CHECK(fixture.outcomes.at("a") == journal_outcome::not_written);
    CHECK_FALSE(fixture.store.find(chain_fixture::row("a")));
    fixture.write("b");
    CHECK(fixture.outcomes.at("b") == journal_outcome::not_written);
}

TEST_CASE("a refused commit drops droppable entries and retries the others")
{
    chain_fixture fixture;
    fixture.store.down = true;
    fixture.write("job", true);
    fixture.write("end");
    fixture.loop.advance(milliseconds{100});
    CHECK(fixture.outcomes.at("job") == journal_outcome::not_written);
    CHECK(fixture.outcomes.count("end") == 0);
    CHECK(fixture.chain->is_failing());
    fixture.store.down = false;
    fixture.loop.advance(milliseconds{400});
    CHECK(fixture.outcomes.at("end") == journal_outcome::durable);
}

TEST_CASE("a batch with an unknown result is resent with its droppable entries")
{
    chain_fixture fixture;
    fixture.store.hold_commits = true;
    fixture.write("job", true);
    fixture.loop.advance(milliseconds{10});
    fixture.store.hold_commits = false;
    fixture.store.down = true;
    fixture.loop.advance(milliseconds{100});
    // The commit may still take effect, so no outcome may be reported.
    CHECK(fixture.outcomes.empty());
    fixture.store.release_held();
    fixture.store.down = false;
    fixture.loop.advance(milliseconds{400});
    CHECK(fixture.outcomes.at("job") == journal_outcome::durable);
}

TEST_CASE("abandon reports unknown for entries in flight, not_written for "
          "queued ones")
{
    chain_fixture fixture;
    fixture.write("out");
    fixture.write("waiting");
    fixture.chain->abandon();
    CHECK(fixture.outcomes.at("out") == journal_outcome::unknown);
    CHECK(fixture.outcomes.at("waiting") == journal_outcome::not_written);
    fixture.loop.advance(milliseconds{50});
    CHECK(fixture.lost == 0);
}
