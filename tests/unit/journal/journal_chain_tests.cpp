#include "glenhollow/journal/journal_chain.hpp"
#include "unit/support/fake_row_store.hpp"

#include <catch2/catch.hpp>

using namespace glenhollow;

namespace
{

/// One chain over a faulty store.
struct chain_world
{
    chain_world()
    {
        head.owner = "entry-1";
        head.incarnation = 11;
        head.epoch = 3;
        head.version = store.put(head_key(0), encode_head(head));
        make();
    }

    void make()
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
        entry.done = [this, key](journal_verdict verdict)
        { verdicts[key] = verdict; };
        chain->append(std::move(entry));
    }

    manual_loop loop;
    fake_row_store store{loop};
    chain_head head;
    std::unique_ptr<journal_chain> chain;
    std::map<std::string, journal_verdict> verdicts;
    int lost = 0;
};

} // namespace

TEST_CASE("entries that come while a transaction is out leave together")
{
    chain_world world;
    for (const auto* key : {"a", "b", "c", "d"})
        world.write(key);
    world.loop.advance(milliseconds{50});
    CHECK(world.store.transactions.size() == 2);
    CHECK(world.verdicts.size() == 4);
    CHECK(world.chain->idle());
    CHECK(world.store.find(chain_world::row("d")));
}

TEST_CASE("a batch keeps to the store's limit of rows")
{
    chain_world world;
    for (int i = 0; i < 250; ++i)
        world.write("key" + std::to_string(i));
    world.loop.advance(seconds{1});
    CHECK(world.verdicts.size() == 250);
    for (const auto& change : world.store.transactions)
        CHECK(change.puts.size() + change.removes.size() +
                  change.expected.size() <=
              max_transaction_rows);
}

TEST_CASE("a row written and removed in one batch is named once")
{
    chain_world world;
    world.write("first");
    world.write("a");
    journal_entry entry;
    entry.removes.push_back(chain_world::row("a"));
    world.chain->append(std::move(entry));
    world.loop.advance(milliseconds{50});
    REQUIRE(world.store.transactions.size() == 2);
    CHECK(world.store.transactions[1].puts.size() == 1); // The head.
    CHECK(world.store.transactions[1].removes.size() == 1);
}

TEST_CASE("a lost answer is settled by the head, not guessed")
{
    chain_world world;
    world.store.lose_answers = 1;
    world.write("a");
    world.loop.advance(milliseconds{200});
    CHECK(world.verdicts.at("a") == journal_verdict::durable);
    CHECK(world.chain->stats().settled == 1);
    CHECK(world.lost == 0);
}

TEST_CASE("a transaction done late, after a newer one, does nothing")
{
    chain_world world;
    world.store.hold_commits = true;
    world.write("a");
    world.loop.advance(milliseconds{10});
    world.store.hold_commits = false;
    world.loop.advance(milliseconds{300});
    REQUIRE(world.verdicts.at("a") == journal_verdict::durable);
    journal_entry entry;
    entry.removes.push_back(chain_world::row("a"));
    world.chain->append(std::move(entry));
    world.loop.advance(milliseconds{50});
    for (const auto& end : world.store.release_held())
        CHECK(end.outcome == store_outcome::conflict);
    CHECK_FALSE(world.store.find(chain_world::row("a")));
}

TEST_CASE("a deposed owner's write conflicts and it loses the part")
{
    chain_world world;
    auto successor = world.head;
    successor.owner = "entry-2";
    successor.incarnation = 22;
    successor.epoch = 4;
    world.store.put(head_key(0), encode_head(successor));
    world.write("a");
    world.loop.advance(milliseconds{50});
    CHECK(world.lost == 1);
    CHECK(world.verdicts.at("a") == journal_verdict::not_written);
    CHECK_FALSE(world.store.find(chain_world::row("a")));
    world.write("b");
    CHECK(world.verdicts.at("b") == journal_verdict::not_written);
}

TEST_CASE("while the store turns calls away, new jobs go and ends stay")
{
    chain_world world;
    world.store.down = true;
    world.write("job", true);
    world.write("end");
    world.loop.advance(milliseconds{100});
    CHECK(world.verdicts.at("job") == journal_verdict::not_written);
    CHECK(world.verdicts.count("end") == 0);
    CHECK(world.chain->troubled());
    world.store.down = false;
    world.loop.advance(milliseconds{400});
    CHECK(world.verdicts.at("end") == journal_verdict::durable);
}

TEST_CASE("a batch whose fate is unknown is sent again unchanged")
{
    chain_world world;
    world.store.hold_commits = true;
    world.write("job", true);
    world.loop.advance(milliseconds{10});
    world.store.hold_commits = false;
    world.store.down = true;
    world.loop.advance(milliseconds{100});
    // It may be done yet, so it must not be called not written.
    CHECK(world.verdicts.empty());
    world.store.release_held();
    world.store.down = false;
    world.loop.advance(milliseconds{400});
    CHECK(world.verdicts.at("job") == journal_verdict::durable);
}

TEST_CASE("abandoning leaves what is out unknown and the rest unwritten")
{
    chain_world world;
    world.write("out");
    world.write("waiting");
    world.chain->abandon();
    CHECK(world.verdicts.at("out") == journal_verdict::unknown);
    CHECK(world.verdicts.at("waiting") == journal_verdict::not_written);
    world.loop.advance(milliseconds{50});
    CHECK(world.lost == 0);
}
