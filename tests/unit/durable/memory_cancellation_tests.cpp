#include "glenhollow/durable/memory_cancellation.hpp"
#include "unit/support/manual_loop.hpp"

#include <catch2/catch.hpp>

#include <memory>

using namespace glenhollow;

namespace
{

/// Jobs in memory that end as they are told.
struct fake_local_jobs final : local_memory_jobs
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

    std::map<job_id, job_state> jobs; ///< By id.
    bool host_lost = false;           ///< The host of the jobs does not answer.
    bool returned_by_host = false;    ///< It had given the next one back.
};

/// Some entries with links that can be cut, a journal and a clock.
struct cancel_fixture
{
    struct entry;

    /// What one entry sees of the others.
    struct links final : cancel_peers
    {
        std::vector<peer_status> all() const override;
        void cancel(const std::string& name, job_id id,
                    answer_handler done) override;
        void relay_cancel(const std::string& by, const std::string& name,
                          job_id id, answer_handler done) override;
        void fetch_cancels(const std::string& name,
                           cancel_records_handler done) override;

        cancel_fixture* world = nullptr;
        std::string own_name;
    };

    /// One entry.
    struct entry
    {
        fake_local_jobs local_jobs;
        links peers;
        std::unique_ptr<memory_cancellation> cancels;
        bool disconnected = false; ///< No link, either way.
        bool suspended = false;    ///< Takes calls and does nothing.
        bool old_version = false; ///< Its version can't tell what it remembers.
        int fetched = 0;          ///< Times that it was asked for that.
        bool ignores_calls = false; ///< It is heard, and never answers a call.
        instant last_heard{};       ///< By the others.
        std::vector<std::function<void()>> inbox; ///< While frozen.
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
    /// Two that don't reach each other, and since when.
    std::map<std::pair<std::string, std::string>, instant> unreachable_pairs;
    std::pair<std::string, std::string> lossy_link; ///< From, to: all is lost.
    std::set<job_id> journal;                       ///< Kept jobs.
    bool journal_silent = false;                    ///< It answers nothing.
    int journal_calls = 0;                          ///< Times.
    int replies_to_lose = 0; ///< So many calls are answered by a lost link.
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
        if (name == own_name)
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
                            world->entries.at(by).cancels->told(id, name, done);
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
        to.cancels->told(id, {},
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
                                done(to.cancels->remembered());
                        });
}

std::uint64_t count_of(const memory_cancellation& cancels,
                       cancel_outcome outcome)
{
    return cancels.stats().outcomes[static_cast<std::size_t>(outcome)];
}

} // namespace

TEST_CASE("a cancel at another entry finds the job where it is")
{
    cancel_fixture world;
    world.at(2).local_jobs.jobs[7] = job_state::running;
    world.cancel(0, 7);
    world.run(milliseconds{20});
    REQUIRE(world.replies.size() == 1);
    CHECK(world.replies[0].outcome == job_outcome::done);
    CHECK(world.replies[0].state == job_state::cancelled);
    CHECK(world.at(2).local_jobs.jobs[7] == job_state::cancelled);
    CHECK(count_of(*world.at(0).cancels, cancel_outcome::elsewhere) == 1);
}

TEST_CASE("a job that this entry has is cancelled at once, and others hear")
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

TEST_CASE("a job whose host is lost is answered for when nothing of it runs")
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

TEST_CASE("a job whose host another entry has lost is answered for as well")
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

TEST_CASE("a job that its host gave back meanwhile is cancelled here")
{
    cancel_fixture world;
    world.at(0).local_jobs.jobs[7] = job_state::queued;
    world.at(0).local_jobs.returned_by_host = true;
    world.cancel(0, 7);
    REQUIRE(world.replies.size() == 1);
    CHECK(world.replies[0].state == job_state::cancelled);
}

TEST_CASE("nobody has it: told so as soon as all have answered")
{
    cancel_fixture world;
    world.cancel(0, 7);
    CHECK(world.replies.empty());
    world.run(milliseconds{20});
    REQUIRE(world.replies.size() == 1);
    CHECK(world.replies[0].outcome == job_outcome::missing);
}

TEST_CASE("while its holder is cut off, a cancel is answered when nothing runs")
{
    cancel_fixture world;
    world.at(2).local_jobs.jobs[7] = job_state::running;
    world.at(2).disconnected = true;
    world.run(milliseconds{300});
    world.cancel(0, 7);
    world.run(milliseconds{1500});
    CHECK(world.replies.empty()); // What it has placed may run.
    world.run(milliseconds{300});
    REQUIRE(world.replies.size() == 1);
    CHECK(world.replies[0].outcome == job_outcome::missing);
    CHECK(world.at(0).cancels->stats().timed_out == 1);
    // As soon as it is back it must not place the tasks again.
    CHECK(world.at(2).local_jobs.jobs[7] == job_state::running);
    world.at(2).disconnected = false;
    world.run(milliseconds{20});
    CHECK(world.at(2).local_jobs.jobs[7] == job_state::cancelled);
    CHECK(world.at(0).cancels->stats().ran_after_reply == 1);
}

TEST_CASE("a frozen holder hears of the cancel before it places anything")
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

TEST_CASE("an entry that was gone long before is not waited for")
{
    cancel_fixture world;
    world.at(2).disconnected = true;
    world.run(seconds{3});
    world.cancel(0, 7);
    world.run(milliseconds{270}); // Others may have reached it.
    REQUIRE(world.replies.size() == 1);
    CHECK(world.replies[0].outcome == job_outcome::missing);
    // After a minute it has been taken away, and nobody is asked for it.
    world.run(seconds{60});
    const auto relayed = world.at(0).cancels->stats().relayed;
    world.cancel(0, 8);
    world.run(milliseconds{20});
    CHECK(world.replies.size() == 2);
    CHECK(world.at(0).cancels->stats().relayed == relayed);
}

TEST_CASE("a holder out of reach is told by way of an entry that reaches it")
{
    cancel_fixture world;
    world.at(2).local_jobs.jobs[7] = job_state::running;
    world.unreachable_pairs[{"entry-0", "entry-2"}] = world.loop.clock.now();
    world.run(seconds{3}); // It looks gone, and its agents work on for it.
    world.cancel(0, 7);
    world.run(milliseconds{20});
    REQUIRE(world.replies.size() == 1);
    CHECK(world.replies[0].state == job_state::cancelled);
    CHECK(world.at(2).local_jobs.jobs[7] == job_state::cancelled);
    // One that has nothing says so the same way.
    world.cancel(0, 8);
    world.run(milliseconds{20});
    REQUIRE(world.replies.size() == 2);
    CHECK(world.replies[1].outcome == job_outcome::missing);
    CHECK(world.at(2).cancels->reject_if_cancelled(8) == job_state::cancelled);
}

TEST_CASE("a holder whose link is lost one way is told by another way")
{
    // The link looks sound still, and nothing comes by it.
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

TEST_CASE("an entry that is live and never answers makes it unknown, in time")
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

TEST_CASE("a cancel whose answer was lost is told again")
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

TEST_CASE("a job is cancelled once, at however many entries that is asked")
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
    // Also when its holder remembers its end no more.
    world.at(2).local_jobs.jobs.clear();
    world.cancel(1, 7);
    world.run(milliseconds{20});
    REQUIRE(world.replies.size() == 4);
    CHECK(world.replies[3].outcome == job_outcome::done);
    CHECK(world.replies[3].state == job_state::cancelled);
}

TEST_CASE("a cancel that overtakes its job bars it at every entry")
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

TEST_CASE("a cancel after the job's end tells how it ended")
{
    cancel_fixture world;
    world.at(2).local_jobs.jobs[7] = job_state::succeeded;
    world.cancel(0, 7);
    world.run(milliseconds{20});
    REQUIRE(world.replies.size() == 1);
    CHECK(world.replies[0].state == job_state::succeeded);
    CHECK(world.at(0).cancels->reject_if_cancelled(7) == job_state::succeeded);
}

TEST_CASE("for a kept job no other entry is asked")
{
    cancel_fixture world;
    world.journal.insert(7);
    world.cancel(0, 7);
    REQUIRE(world.replies.size() == 1);
    CHECK(world.replies[0].state == job_state::cancelled);
    CHECK(world.at(0).cancels->stats().told == 0);
    CHECK(world.at(0).cancels->memory().size() == 0);
}

TEST_CASE("while the journal's owner is silent, jobs in memory are found")
{
    cancel_fixture world;
    world.journal_silent = true;
    world.at(2).local_jobs.jobs[7] = job_state::running;
    world.cancel(0, 7);
    world.run(milliseconds{250});
    REQUIRE(world.replies.size() == 1);
    CHECK(world.replies[0].state == job_state::cancelled);
    // One that nobody has in memory may be a kept one.
    world.cancel(0, 8);
    world.run(seconds{5});
    REQUIRE(world.replies.size() == 2);
    CHECK(world.replies[1].outcome == job_outcome::unknown);
}

TEST_CASE("an entry that begins anew learns what was cancelled before")
{
    cancel_fixture world;
    world.at(2).local_jobs.jobs[7] = job_state::running;
    world.cancel(0, 7);
    world.run(seconds{1});
    world.start("entry-0"); // The one that took the cancel.
    CHECK_FALSE(world.at(0).cancels->reject_if_cancelled(7));
    world.run(milliseconds{20});
    CHECK(world.at(0).cancels->reject_if_cancelled(7) == job_state::cancelled);
    // No longer than the others remember it.
    world.run(seconds{60});
    CHECK_FALSE(world.at(0).cancels->reject_if_cancelled(7));
    CHECK_FALSE(world.at(1).cancels->reject_if_cancelled(7));
}

TEST_CASE("an entry that can't tell what it remembers is seldom asked")
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

TEST_CASE("a job that came again before the entry had learned is cancelled")
{
    cancel_fixture world;
    world.cancel(0, 7);
    world.run(milliseconds{50});
    world.start("entry-1");
    world.at(1).local_jobs.jobs[7] = job_state::queued;
    world.run(milliseconds{20});
    CHECK(world.at(1).local_jobs.jobs[7] == job_state::cancelled);
}

TEST_CASE("cancels are remembered for a time and up to a number")
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

TEST_CASE("more cancels than an entry answers at once are told in turn")
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
    CHECK(world.at(1).cancels->memory().size() == 100);
}

TEST_CASE("a cancel lost with a link that fell silent is told once it is back")
{
    cancel_fixture world(2);
    world.at(1).local_jobs.jobs[7] = job_state::running;
    world.at(1).ignores_calls = true;
    world.cancel(0, 7);
    world.run(seconds{4});
    CHECK(world.at(1).local_jobs.jobs[7] == job_state::running);
    world.at(1).disconnected =
        true; // The link is dropped: its calls end unanswered.
    world.run(milliseconds{100});
    world.at(1).ignores_calls = world.at(1).disconnected = false;
    world.run(milliseconds{100});
    CHECK(world.at(1).local_jobs.jobs[7] == job_state::cancelled);
}
