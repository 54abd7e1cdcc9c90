#include "glenhollow/durable/memory_cancellation.hpp"
#include "unit/support/manual_loop.hpp"

#include <catch2/catch.hpp>

#include <memory>

using namespace glenhollow;

namespace
{

/// In-memory jobs with configurable replies.
struct fake_local_jobs final : local_jobs
{
    bool cancel_local(job_id id, job_reply_handler done) override
    {
        const auto known = jobs.find(id);
        if (known == jobs.end())
            return false;
        if (host_lost || std::exchange(returned_by_host, false))
        {
            done({host_lost ? job_outcome::unknown : job_outcome::missing,
                  job_state::queued,
                  {}});
            return true;
        }
        if (!is_final(known->second))
            known->second = job_state::cancelled;
        done({job_outcome::done, known->second, {}});
        return true;
    }

    bool cancel_owned(job_id id, job_reply_handler done) override
    {
        const auto known = owned.find(id);
        if (known == owned.end())
            return false;
        known->second = job_state::cancelled;
        done({job_outcome::done, known->second, {}});
        return true;
    }

    std::map<job_id, job_state> jobs;  ///< States of jobs in memory by id.
    std::map<job_id, job_state> owned; ///< States of journalled jobs by id.
    bool host_lost = false;        ///< Whether the host of the jobs is lost.
    bool returned_by_host = false; ///< Whether the host returned the next job.
};

/// Entries with links that can fail, a journal and a clock.
struct cancel_fixture
{
    struct entry;

    /// Links of one entry to the others.
    struct links final : cancel_peers
    {
        std::vector<peer_status> all() const override;
        bool knows_all_entries() const override { return members_read; }
        void cancel(const std::string& name, job_id id,
                    answer_handler done) override;
        void relay_cancel(const std::string& by, const std::string& name,
                          job_id id, answer_handler done) override;
        void fetch_cancels(const std::string& name,
                           cancel_records_handler done) override;

        cancel_fixture* world = nullptr;
        std::string own_name;
        bool members_read = true;      ///< Whether all other entries are known.
        std::set<std::string> unknown; ///< Entries that are not known yet.
    };

    /// State of one entry.
    struct entry
    {
        fake_local_jobs local_jobs;
        links peers;
        std::unique_ptr<memory_cancellation> cancels;
        bool disconnected = false;  ///< No links in either direction.
        bool suspended = false;     ///< Queues calls without handling them.
        bool old_version = false;   ///< Does not support the fetch of cancels.
        int fetched = 0;            ///< Number of fetches it has received.
        bool ignores_calls = false; ///< Alive, but never answers a call.
        instant last_heard{};       ///< Last message to the others.
        std::vector<std::function<void()>> inbox; ///< Queued calls.
    };

    explicit cancel_fixture(int count = 3)
    {
        for (int i = 0; i < count; ++i)
            start("entry-" + std::to_string(i));
        run(milliseconds{100});
    }

    void start(const std::string& name)
    {
        auto& one = entries[name];
        one.local_jobs.jobs.clear();
        one.peers.world = this;
        one.peers.own_name = name;
        one.last_heard = loop.clock.now();
        one.cancels = std::make_unique<memory_cancellation>(
            loop.clock, one.local_jobs, one.peers,
            [this](job_id id, job_reply_handler done)
            {
                ++journal_calls;
                if (journal_silent)
                    return;
                const bool kept = journal.contains(id);
                done({kept ? job_outcome::done : job_outcome::missing,
                      job_state::cancelled,
                      {}});
            },
            settings);
    }

    void run(duration length)
    {
        constexpr duration step = milliseconds{10};
        for (duration passed{}; passed < length; passed += step)
        {
            for (auto& [name, one] : entries)
            {
                if (!one.disconnected && !one.suspended)
                    one.last_heard = loop.clock.now();
                if (!one.suspended)
                    one.cancels->tick();
            }
            loop.advance(step);
        }
    }

    entry& at(int number)
    {
        return entries.at("entry-" + std::to_string(number));
    }

    void cancel(int number, job_id id)
    {
        at(number).cancels->cancel(id, [this](const job_reply& reply)
                                   { replies.push_back(reply); });
    }

    void resume(int number)
    {
        at(number).suspended = false;
        for (const auto& work : std::exchange(at(number).inbox, {}))
            work();
    }

    bool can_reach(const std::string& one, const std::string& other) const;

    manual_loop loop;
    memory_cancellation_settings settings;
    std::map<std::string, entry> entries;
    /// Pairs of entries that can't reach each other, and since when.
    std::map<std::pair<std::string, std::string>, instant> unreachable_pairs;
    /// Sender and receiver of a link that loses all calls.
    std::pair<std::string, std::string> lossy_link;
    std::set<job_id> journal;    ///< Journalled jobs.
    bool journal_silent = false; ///< Whether the journal does not answer.
    int journal_calls = 0;       ///< Number of calls.
    int replies_to_lose = 0;     ///< Number of calls whose reply is lost.
    std::vector<job_reply> replies;
};

bool cancel_fixture::can_reach(const std::string& one,
                               const std::string& other) const
{
    return !entries.at(one).disconnected && !entries.at(other).disconnected &&
           !unreachable_pairs.contains({one, other}) &&
           !unreachable_pairs.contains({other, one});
}

std::vector<peer_status> cancel_fixture::links::all() const
{
    std::vector<peer_status> out;
    for (const auto& [name, one] : world->entries)
    {
        if (name == own_name || unknown.contains(name))
            continue;
        const bool is_unreachable =
            world->unreachable_pairs.contains({own_name, name});
        out.push_back({name, world->can_reach(own_name, name),
                       is_unreachable
                           ? world->unreachable_pairs.at({own_name, name})
                           : one.last_heard});
    }
    return out;
}

void cancel_fixture::links::relay_cancel(const std::string& by,
                                         const std::string& name, job_id id,
                                         answer_handler done)
{
    world->loop.delay()(milliseconds{1},
                        [this, by, name, id, done]
                        {
                            if (!world->can_reach(own_name, by))
                                return done(std::nullopt);
                            world->entries.at(by).cancels->on_peer_cancel(
                                id, name, done);
                        });
}

void cancel_fixture::links::cancel(const std::string& name, job_id id,
                                   answer_handler done)
{
    const auto work = [this, name, id, done]
    {
        auto& to = world->entries.at(name);
        if (to.ignores_calls || world->lossy_link == std::pair{own_name, name})
            return;
        if (!world->can_reach(own_name, name))
            return done(std::nullopt);
        const bool lost = world->replies_to_lose > 0;
        world->replies_to_lose -= lost ? 1 : 0;
        to.cancels->on_peer_cancel(id, {},
                                   [lost, done](const job_reply& reply)
                                   {
                                       if (lost)
                                           done(std::nullopt);
                                       else
                                           done(reply);
                                   });
    };
    world->loop.delay()(milliseconds{1},
                        [this, name, work]
                        {
                            auto& to = world->entries.at(name);
                            if (to.suspended)
                                to.inbox.push_back(work);
                            else
                                work();
                        });
}

void cancel_fixture::links::fetch_cancels(const std::string& name,
                                          cancel_records_handler done)
{
    world->loop.delay()(milliseconds{1},
                        [this, name, done]
                        {
                            auto& to = world->entries.at(name);
                            ++to.fetched;
                            if (to.disconnected || to.suspended ||
                                to.old_version)
                                done(std::nullopt);
                            else
                                done(to.cancels->cancel_records());
                        });
}

std::uint64_t count_of(const memory_cancellation& cancels,
                       cancel_outcome outcome)
{
    return cancels.stats().outcomes[static_cast<std::size_t>(outcome)];
}

} // namespace

TEST_CASE("a cancel reaches the job at another entry")
{
    cancel_fixture world;
    world.at(2).local_jobs.jobs[7] = job_state::running;
    world.cancel(0, 7);
    world.run(milliseconds{20});
    REQUIRE(world.replies.size() == 1);
    CHECK(world.replies[0].outcome == job_outcome::done);
    CHECK(world.replies[0].state == job_state::cancelled);
    CHECK(world.at(2).local_jobs.jobs[7] == job_state::cancelled);
    CHECK(count_of(*world.at(0).cancels, cancel_outcome::remote) == 1);
}

TEST_CASE("a local job is cancelled at once and the cancel is broadcast")
{
    cancel_fixture world;
    world.at(0).local_jobs.jobs[7] = job_state::running;
    world.cancel(0, 7);
    REQUIRE(world.replies.size() == 1);
    CHECK(world.replies[0].state == job_state::cancelled);
    CHECK(world.journal_calls == 0);
    world.run(milliseconds{20});
    CHECK(world.at(1).cancels->reject_if_cancelled(7) == job_state::cancelled);
    CHECK(world.at(2).cancels->reject_if_cancelled(7) == job_state::cancelled);
}

TEST_CASE("a cancel of a job with a lost host waits until nothing runs")
{
    cancel_fixture world;
    world.at(0).local_jobs.jobs[7] = job_state::running;
    world.at(0).local_jobs.host_lost = true;
    world.cancel(0, 7);
    world.run(milliseconds{1950});
    CHECK(world.replies.empty());
    world.run(milliseconds{100});
    REQUIRE(world.replies.size() == 1);
    CHECK(world.replies[0].outcome == job_outcome::missing);
    CHECK(world.at(1).cancels->reject_if_cancelled(7) == job_state::cancelled);
}

TEST_CASE("a cancel of another entry's job with a lost host waits likewise")
{
    cancel_fixture world;
    world.at(2).local_jobs.jobs[7] = job_state::running;
    world.at(2).local_jobs.host_lost = true;
    world.cancel(0, 7);
    world.run(milliseconds{1950});
    CHECK(world.replies.empty());
    world.run(milliseconds{100});
    REQUIRE(world.replies.size() == 1);
    CHECK(world.replies[0].outcome == job_outcome::missing);
}

TEST_CASE("a job that its host has returned is cancelled locally")
{
    cancel_fixture world;
    world.at(0).local_jobs.jobs[7] = job_state::queued;
    world.at(0).local_jobs.returned_by_host = true;
    world.cancel(0, 7);
    REQUIRE(world.replies.size() == 1);
    CHECK(world.replies[0].state == job_state::cancelled);
}

TEST_CASE("an unknown job is reported missing once all entries have replied")
{
    cancel_fixture world;
    world.cancel(0, 7);
    CHECK(world.replies.empty());
    world.run(milliseconds{20});
    REQUIRE(world.replies.size() == 1);
    CHECK(world.replies[0].outcome == job_outcome::missing);
}

// Guards against a caller that is told that a job does not exist while it runs
// at an entry that its own entry, just started, had not heard of.
TEST_CASE("a job is reported missing only by an entry that knows all others")
{
    cancel_fixture world;
    world.at(2).local_jobs.jobs[7] = job_state::running;
    world.at(0).peers.members_read = false;
    world.at(0).peers.unknown = {"entry-2"};
    world.cancel(0, 7);
    world.run(seconds{3});
    CHECK(world.replies.empty());
    SECTION("the other entry becomes known")
    {
        world.at(0).peers.members_read = true;
        world.at(0).peers.unknown.clear();
        world.run(milliseconds{100});
        REQUIRE(world.replies.size() == 1);
        CHECK(world.replies[0].state == job_state::cancelled);
        CHECK(world.at(2).local_jobs.jobs[7] == job_state::cancelled);
    }
    SECTION("it does not in time")
    {
        world.run(seconds{1});
        REQUIRE(world.replies.size() == 1);
        CHECK(world.replies[0].outcome == job_outcome::unknown);
    }
}

TEST_CASE("a cancel waits for the leases of a disconnected entry to expire")
{
    cancel_fixture world;
    world.at(2).local_jobs.jobs[7] = job_state::running;
    world.at(2).disconnected = true;
    world.run(milliseconds{300});
    world.cancel(0, 7);
    world.run(milliseconds{1500});
    CHECK(world.replies.empty()); // Its placed tasks may run.
    world.run(milliseconds{300});
    REQUIRE(world.replies.size() == 1);
    CHECK(world.replies[0].outcome == job_outcome::missing);
    CHECK(world.at(0).cancels->stats().timed_out == 1);
    // Once reconnected it must not restart the tasks.
    CHECK(world.at(2).local_jobs.jobs[7] == job_state::running);
    world.at(2).disconnected = false;
    world.run(milliseconds{20});
    CHECK(world.at(2).local_jobs.jobs[7] == job_state::cancelled);
    CHECK(world.at(0).cancels->stats().ran_after_reply == 1);
}

TEST_CASE("a resumed entry handles a cancel before it places tasks")
{
    cancel_fixture world;
    world.at(2).local_jobs.jobs[7] = job_state::running;
    world.at(2).suspended = true;
    world.run(milliseconds{100});
    world.cancel(0, 7);
    world.run(milliseconds{1900});
    CHECK(world.replies.empty());
    world.run(milliseconds{150});
    REQUIRE(world.replies.size() == 1);
    CHECK(world.replies[0].outcome == job_outcome::missing);
    world.resume(2);
    CHECK(world.at(2).local_jobs.jobs[7] == job_state::cancelled);
}

// Guards against a cancelled job that runs on at an entry that resumes, claims
// its part and accepts it before the cancel arrives.
TEST_CASE("a resumed entry cancels a journalled job that it has accepted")
{
    cancel_fixture world;
    world.at(2).suspended = true;
    world.run(milliseconds{100});
    world.cancel(0, 7);
    world.run(milliseconds{2100});
    REQUIRE(world.replies.size() == 1);
    CHECK(world.replies[0].outcome == job_outcome::missing);
    world.at(2).local_jobs.owned[7] = job_state::running;
    world.resume(2);
    CHECK(world.at(2).local_jobs.owned[7] == job_state::cancelled);
}

TEST_CASE("an entry that has been down for long is not waited for")
{
    cancel_fixture world;
    world.at(2).disconnected = true;
    world.run(seconds{3});
    world.cancel(0, 7);
    world.run(milliseconds{270}); // Time for a relay through other entries.
    REQUIRE(world.replies.size() == 1);
    CHECK(world.replies[0].outcome == job_outcome::missing);
    // It is ignored after the retention time, and no cancel is relayed.
    world.run(seconds{60});
    const auto relayed = world.at(0).cancels->stats().relayed;
    world.cancel(0, 8);
    world.run(milliseconds{20});
    CHECK(world.replies.size() == 2);
    CHECK(world.at(0).cancels->stats().relayed == relayed);
}

TEST_CASE("a cancel is relayed to an entry that is unreachable from here")
{
    cancel_fixture world;
    world.at(2).local_jobs.jobs[7] = job_state::running;
    world.unreachable_pairs[{"entry-0", "entry-2"}] = world.loop.clock.now();
    // It seems down while its agents keep running its jobs.
    world.run(seconds{3});
    world.cancel(0, 7);
    world.run(milliseconds{20});
    REQUIRE(world.replies.size() == 1);
    CHECK(world.replies[0].state == job_state::cancelled);
    CHECK(world.at(2).local_jobs.jobs[7] == job_state::cancelled);
    // An entry without the job replies the same way.
    world.cancel(0, 8);
    world.run(milliseconds{20});
    REQUIRE(world.replies.size() == 2);
    CHECK(world.replies[1].outcome == job_outcome::missing);
    CHECK(world.at(2).cancels->reject_if_cancelled(8) == job_state::cancelled);
}

TEST_CASE("a cancel is relayed around a link that loses calls in one direction")
{
    // The link still seems connected but delivers nothing.
    cancel_fixture world;
    world.at(2).local_jobs.jobs[7] = job_state::running;
    world.lossy_link = {"entry-0", "entry-2"};
    world.cancel(0, 7);
    world.run(milliseconds{200});
    CHECK(world.replies.empty());
    world.run(milliseconds{100});
    REQUIRE(world.replies.size() == 1);
    CHECK(world.replies[0].state == job_state::cancelled);
}

TEST_CASE("a live entry that never replies leads to an unknown outcome in time")
{
    cancel_fixture world;
    world.at(2).ignores_calls = true;
    world.cancel(0, 7);
    world.run(milliseconds{3400});
    CHECK(world.replies.empty());
    world.run(milliseconds{200});
    REQUIRE(world.replies.size() == 1);
    CHECK(world.replies[0].outcome == job_outcome::unknown);
}

TEST_CASE("a cancel whose reply is lost is sent again")
{
    cancel_fixture world(2);
    world.at(1).local_jobs.jobs[7] = job_state::running;
    world.replies_to_lose = 1;
    world.cancel(0, 7);
    world.run(milliseconds{50});
    REQUIRE(world.replies.size() == 1);
    CHECK(world.replies[0].state == job_state::cancelled);
    CHECK(world.at(0).cancels->stats().unacknowledged == 1);
}

TEST_CASE("repeated cancels at several entries all get the same reply")
{
    cancel_fixture world;
    world.at(2).local_jobs.jobs[7] = job_state::running;
    world.cancel(0, 7);
    world.cancel(0, 7);
    world.cancel(1, 7);
    world.run(milliseconds{20});
    REQUIRE(world.replies.size() == 3);
    for (const auto& reply : world.replies)
        CHECK(reply.state == job_state::cancelled);
    // Also after the entry with the job has forgotten its end.
    world.at(2).local_jobs.jobs.clear();
    world.cancel(1, 7);
    world.run(milliseconds{20});
    REQUIRE(world.replies.size() == 4);
    CHECK(world.replies[3].outcome == job_outcome::done);
    CHECK(world.replies[3].state == job_state::cancelled);
}

TEST_CASE("a cancel that arrives before its job blocks it at every entry")
{
    cancel_fixture world;
    world.cancel(0, 7);
    world.run(milliseconds{20});
    CHECK(world.replies.at(0).outcome == job_outcome::missing);
    for (int i = 0; i < 3; ++i)
        CHECK(world.at(i).cancels->reject_if_cancelled(7) ==
              job_state::cancelled);
    CHECK_FALSE(world.at(0).cancels->reject_if_cancelled(8));
}

TEST_CASE("a cancel after the end of a job returns its end state")
{
    cancel_fixture world;
    world.at(2).local_jobs.jobs[7] = job_state::succeeded;
    world.cancel(0, 7);
    world.run(milliseconds{20});
    REQUIRE(world.replies.size() == 1);
    CHECK(world.replies[0].state == job_state::succeeded);
    CHECK(world.at(0).cancels->reject_if_cancelled(7) == job_state::succeeded);
}

TEST_CASE("a cancel of a journalled job is not broadcast")
{
    cancel_fixture world;
    world.journal.insert(7);
    world.cancel(0, 7);
    REQUIRE(world.replies.size() == 1);
    CHECK(world.replies[0].state == job_state::cancelled);
    CHECK(world.at(0).cancels->stats().sent == 0);
    CHECK(world.at(0).cancels->cache().size() == 0);
}

TEST_CASE("in-memory jobs are cancelled while the journal's owner is silent")
{
    cancel_fixture world;
    world.journal_silent = true;
    world.at(2).local_jobs.jobs[7] = job_state::running;
    world.cancel(0, 7);
    world.run(milliseconds{250});
    REQUIRE(world.replies.size() == 1);
    CHECK(world.replies[0].state == job_state::cancelled);
    // A job that no entry has may be journalled.
    world.cancel(0, 8);
    world.run(seconds{5});
    REQUIRE(world.replies.size() == 2);
    CHECK(world.replies[1].outcome == job_outcome::unknown);
}

TEST_CASE("a restarted entry fetches earlier cancels")
{
    cancel_fixture world;
    world.at(2).local_jobs.jobs[7] = job_state::running;
    world.cancel(0, 7);
    world.run(seconds{1});
    world.start("entry-0"); // The entry that received the cancel.
    CHECK_FALSE(world.at(0).cancels->reject_if_cancelled(7));
    world.run(milliseconds{20});
    CHECK(world.at(0).cancels->reject_if_cancelled(7) == job_state::cancelled);
    // The fetched cancel expires together with the original.
    world.run(seconds{60});
    CHECK_FALSE(world.at(0).cancels->reject_if_cancelled(7));
    CHECK_FALSE(world.at(1).cancels->reject_if_cancelled(7));
}

TEST_CASE("an entry that does not support the fetch is asked once a second")
{
    cancel_fixture world(2);
    world.at(1).old_version = true;
    world.at(1).fetched = 0;
    world.start("entry-0");
    world.run(milliseconds{2990});
    CHECK(world.at(1).fetched == 3);
    world.at(1).old_version = false;
    world.run(milliseconds{1100});
    CHECK(world.at(1).fetched == 4);
    world.run(seconds{5});
    CHECK(world.at(1).fetched == 4);
}

TEST_CASE("a job submitted before the fetch completes is cancelled by it")
{
    cancel_fixture world;
    world.cancel(0, 7);
    world.run(milliseconds{50});
    world.start("entry-1");
    world.at(1).local_jobs.jobs[7] = job_state::queued;
    world.run(milliseconds{20});
    CHECK(world.at(1).local_jobs.jobs[7] == job_state::cancelled);
}

TEST_CASE("the cancel cache is bounded by time and size")
{
    cancel_cache memory({seconds{10}, 3});
    const instant begin = seconds{100};
    CHECK(memory.record(1, begin));
    CHECK_FALSE(memory.record(1, begin + seconds{5}));
    CHECK(memory.record(2, begin + seconds{1}));
    memory.expire(begin + seconds{10});
    CHECK(memory.find(1) == nullptr);
    CHECK(memory.find(2) != nullptr);
    for (job_id id = 3; id <= 5; ++id)
        CHECK(memory.record(id, begin + seconds{10}));
    CHECK(memory.find(2) == nullptr);
    CHECK(memory.size() == 3);
    CHECK(memory.evictions() == 1);
}

TEST_CASE("unacknowledged cancels per entry are bounded")
{
    cancel_fixture world(2);
    world.at(1).suspended = true;
    for (job_id id = 1; id <= 100; ++id)
        world.cancel(0, id);
    world.run(milliseconds{50});
    CHECK(world.at(1).inbox.size() == world.settings.max_unacknowledged);
    world.resume(1);
    world.run(milliseconds{50});
    CHECK(world.replies.size() == 100);
    CHECK(world.at(1).cancels->cache().size() == 100);
}

TEST_CASE("a cancel lost with a dropped link is sent after the reconnect")
{
    cancel_fixture world(2);
    world.at(1).local_jobs.jobs[7] = job_state::running;
    world.at(1).ignores_calls = true;
    world.cancel(0, 7);
    world.run(seconds{4});
    CHECK(world.at(1).local_jobs.jobs[7] == job_state::running);
    world.at(1).disconnected = true; // Its calls end without a reply.
    world.run(milliseconds{100});
    world.at(1).ignores_calls = world.at(1).disconnected = false;
    world.run(milliseconds{100});
    CHECK(world.at(1).local_jobs.jobs[7] == job_state::cancelled);
}
