#include "glenhollow/durable/memory_cancellation.hpp"
#include "unit/support/manual_loop.hpp"

#include <catch2/catch.hpp>

#include <memory>

using namespace glenhollow;

namespace
{

/// Jobs in memory that end as they are told.
struct fake_holder final : memory_job_holder
{
    bool cancel_here(job_id id, job_reply_handler done) override
    {
        const auto known = jobs.find(id);
        if (known == jobs.end())
            return false;
        if (host_lost || std::exchange(given_back, false))
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
    bool given_back = false;          ///< It had given the next one back.
};

/// Some entries with links that can be cut, a journal and a clock.
struct entries_world
{
    struct entry;

    /// What one entry sees of the others.
    struct links final : cancel_peers
    {
        std::vector<peer_reach> all() const override;
        void cancel(const std::string& name, job_id id,
                    answer_handler done) override;
        void pass_on(const std::string& by, const std::string& name, job_id id,
                     answer_handler done) override;
        void fetch(const std::string& name, told_handler done) override;

        entries_world* world = nullptr;
        std::string own;
    };

    /// One entry.
    struct entry
    {
        fake_holder holder;
        links peers;
        std::unique_ptr<memory_cancellation> cancels;
        bool cut = false;    ///< No link, either way.
        bool frozen = false; ///< Takes calls and does nothing.
        bool older = false;  ///< Its version can't tell what it remembers.
        int fetched = 0;     ///< Times that it was asked for that.
        bool deaf = false;   ///< It is heard, and never answers a call.
        instant heard{};     ///< By the others.
        std::vector<std::function<void()>> inbox; ///< While frozen.
    };

    explicit entries_world(int count = 3)
    {
        for (int i = 0; i < count; ++i)
            start("entry-" + std::to_string(i));
        run(milliseconds{100});
    }

    void start(const std::string& name)
    {
        auto& one = entries[name];
        one.holder.jobs.clear();
        one.peers.world = this;
        one.peers.own = name;
        one.heard = loop.clock.now();
        one.cancels = std::make_unique<memory_cancellation>(
            loop.clock, one.holder, one.peers,
            [this](job_id id, job_reply_handler done)
            {
                ++journal_asked;
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
                if (!one.cut && !one.frozen)
                    one.heard = loop.clock.now();
                if (!one.frozen)
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

    void thaw(int number)
    {
        at(number).frozen = false;
        for (const auto& work : std::exchange(at(number).inbox, {}))
            work();
    }

    bool reach(const std::string& one, const std::string& other) const;

    manual_loop loop;
    memory_cancellation_settings settings;
    std::map<std::string, entry> entries;
    /// Two that don't reach each other, and since when.
    std::map<std::pair<std::string, std::string>, instant> apart;
    std::pair<std::string, std::string> half_open; ///< From, to: all is lost.
    std::set<job_id> journal;                      ///< Kept jobs.
    bool journal_silent = false;                   ///< It answers nothing.
    int journal_asked = 0;                         ///< Times.
    int lose_answers = 0; ///< So many calls are answered by a lost link.
    std::vector<job_reply> replies;
};

bool entries_world::reach(const std::string& one,
                          const std::string& other) const
{
    return !entries.at(one).cut && !entries.at(other).cut &&
           !apart.contains({one, other}) && !apart.contains({other, one});
}

std::vector<peer_reach> entries_world::links::all() const
{
    std::vector<peer_reach> out;
    for (const auto& [name, one] : world->entries)
    {
        if (name == own)
            continue;
        const bool is_apart = world->apart.contains({own, name});
        out.push_back({name, world->reach(own, name),
                       is_apart ? world->apart.at({own, name}) : one.heard});
    }
    return out;
}

void entries_world::links::pass_on(const std::string& by,
                                   const std::string& name, job_id id,
                                   answer_handler done)
{
    world->loop.delay()(milliseconds{1},
                        [this, by, name, id, done]
                        {
                            if (!world->reach(own, by))
                                return done(std::nullopt);
                            world->entries.at(by).cancels->told(id, name, done);
                        });
}

void entries_world::links::cancel(const std::string& name, job_id id,
                                  answer_handler done)
{
    const auto work = [this, name, id, done]
    {
        auto& to = world->entries.at(name);
        if (to.deaf || world->half_open == std::pair{own, name})
            return;
        if (!world->reach(own, name))
            return done(std::nullopt);
        const bool lost = world->lose_answers > 0;
        world->lose_answers -= lost ? 1 : 0;
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
                            if (to.frozen)
                                to.inbox.push_back(work);
                            else
                                work();
                        });
}

void entries_world::links::fetch(const std::string& name, told_handler done)
{
    world->loop.delay()(milliseconds{1},
                        [this, name, done]
                        {
                            auto& to = world->entries.at(name);
                            ++to.fetched;
                            if (to.cut || to.frozen || to.older)
                                done(std::nullopt);
                            else
                                done(to.cancels->remembered());
                        });
}

std::uint64_t count_of(const memory_cancellation& cancels, cancel_outcome how)
{
    return cancels.stats().outcomes[static_cast<std::size_t>(how)];
}

} // namespace

TEST_CASE("a cancel at another entry finds the job where it is")
{
    entries_world world;
    world.at(2).holder.jobs[7] = job_state::running;
    world.cancel(0, 7);
    world.run(milliseconds{20});
    REQUIRE(world.replies.size() == 1);
    CHECK(world.replies[0].outcome == job_outcome::done);
    CHECK(world.replies[0].state == job_state::cancelled);
    CHECK(world.at(2).holder.jobs[7] == job_state::cancelled);
    CHECK(count_of(*world.at(0).cancels, cancel_outcome::elsewhere) == 1);
}

TEST_CASE("a job that this entry has is cancelled at once, and others hear")
{
    entries_world world;
    world.at(0).holder.jobs[7] = job_state::running;
    world.cancel(0, 7);
    REQUIRE(world.replies.size() == 1);
    CHECK(world.replies[0].state == job_state::cancelled);
    CHECK(world.journal_asked == 0);
    world.run(milliseconds{20});
    CHECK(world.at(1).cancels->refuse(7) == job_state::cancelled);
    CHECK(world.at(2).cancels->refuse(7) == job_state::cancelled);
}

TEST_CASE("a job whose host is lost is answered for when nothing of it runs")
{
    entries_world world;
    world.at(0).holder.jobs[7] = job_state::running;
    world.at(0).holder.host_lost = true;
    world.cancel(0, 7);
    world.run(milliseconds{1950});
    CHECK(world.replies.empty());
    world.run(milliseconds{100});
    REQUIRE(world.replies.size() == 1);
    CHECK(world.replies[0].outcome == job_outcome::missing);
    CHECK(world.at(1).cancels->refuse(7) == job_state::cancelled);
}

TEST_CASE("a job whose host another entry has lost is answered for as well")
{
    entries_world world;
    world.at(2).holder.jobs[7] = job_state::running;
    world.at(2).holder.host_lost = true;
    world.cancel(0, 7);
    world.run(milliseconds{1950});
    CHECK(world.replies.empty());
    world.run(milliseconds{100});
    REQUIRE(world.replies.size() == 1);
    CHECK(world.replies[0].outcome == job_outcome::missing);
}

TEST_CASE("a job that its host gave back meanwhile is cancelled here")
{
    entries_world world;
    world.at(0).holder.jobs[7] = job_state::queued;
    world.at(0).holder.given_back = true;
    world.cancel(0, 7);
    REQUIRE(world.replies.size() == 1);
    CHECK(world.replies[0].state == job_state::cancelled);
}

TEST_CASE("nobody has it: told so as soon as all have answered")
{
    entries_world world;
    world.cancel(0, 7);
    CHECK(world.replies.empty());
    world.run(milliseconds{20});
    REQUIRE(world.replies.size() == 1);
    CHECK(world.replies[0].outcome == job_outcome::missing);
}

TEST_CASE("while its holder is cut off, a cancel is answered when nothing runs")
{
    entries_world world;
    world.at(2).holder.jobs[7] = job_state::running;
    world.at(2).cut = true;
    world.run(milliseconds{300});
    world.cancel(0, 7);
    world.run(milliseconds{1500});
    CHECK(world.replies.empty()); // What it has placed may run.
    world.run(milliseconds{300});
    REQUIRE(world.replies.size() == 1);
    CHECK(world.replies[0].outcome == job_outcome::missing);
    CHECK(world.at(0).cancels->stats().silent == 1);
    // As soon as it is back it must not place the tasks again.
    CHECK(world.at(2).holder.jobs[7] == job_state::running);
    world.at(2).cut = false;
    world.run(milliseconds{20});
    CHECK(world.at(2).holder.jobs[7] == job_state::cancelled);
    CHECK(world.at(0).cancels->stats().ran_on == 1);
}

TEST_CASE("a frozen holder hears of the cancel before it places anything")
{
    entries_world world;
    world.at(2).holder.jobs[7] = job_state::running;
    world.at(2).frozen = true;
    world.run(milliseconds{100});
    world.cancel(0, 7);
    world.run(milliseconds{1900});
    CHECK(world.replies.empty());
    world.run(milliseconds{150});
    REQUIRE(world.replies.size() == 1);
    CHECK(world.replies[0].outcome == job_outcome::missing);
    world.thaw(2);
    CHECK(world.at(2).holder.jobs[7] == job_state::cancelled);
}

TEST_CASE("an entry that was gone long before is not waited for")
{
    entries_world world;
    world.at(2).cut = true;
    world.run(seconds{3});
    world.cancel(0, 7);
    world.run(milliseconds{270}); // Others may have reached it.
    REQUIRE(world.replies.size() == 1);
    CHECK(world.replies[0].outcome == job_outcome::missing);
    // After a minute it has been taken away, and nobody is asked for it.
    world.run(seconds{60});
    const auto passed_on = world.at(0).cancels->stats().passed_on;
    world.cancel(0, 8);
    world.run(milliseconds{20});
    CHECK(world.replies.size() == 2);
    CHECK(world.at(0).cancels->stats().passed_on == passed_on);
}

TEST_CASE("a holder out of reach is told by way of an entry that reaches it")
{
    entries_world world;
    world.at(2).holder.jobs[7] = job_state::running;
    world.apart[{"entry-0", "entry-2"}] = world.loop.clock.now();
    world.run(seconds{3}); // It looks gone, and its agents work on for it.
    world.cancel(0, 7);
    world.run(milliseconds{20});
    REQUIRE(world.replies.size() == 1);
    CHECK(world.replies[0].state == job_state::cancelled);
    CHECK(world.at(2).holder.jobs[7] == job_state::cancelled);
    // One that has nothing says so the same way.
    world.cancel(0, 8);
    world.run(milliseconds{20});
    REQUIRE(world.replies.size() == 2);
    CHECK(world.replies[1].outcome == job_outcome::missing);
    CHECK(world.at(2).cancels->refuse(8) == job_state::cancelled);
}

TEST_CASE("a holder whose link is lost one way is told by another way")
{
    // The link looks sound still, and nothing comes by it.
    entries_world world;
    world.at(2).holder.jobs[7] = job_state::running;
    world.half_open = {"entry-0", "entry-2"};
    world.cancel(0, 7);
    world.run(milliseconds{200});
    CHECK(world.replies.empty());
    world.run(milliseconds{100});
    REQUIRE(world.replies.size() == 1);
    CHECK(world.replies[0].state == job_state::cancelled);
}

TEST_CASE("an entry that is live and never answers makes it unknown, in time")
{
    entries_world world;
    world.at(2).deaf = true;
    world.cancel(0, 7);
    world.run(milliseconds{3400});
    CHECK(world.replies.empty());
    world.run(milliseconds{200});
    REQUIRE(world.replies.size() == 1);
    CHECK(world.replies[0].outcome == job_outcome::unknown);
}

TEST_CASE("a cancel whose answer was lost is told again")
{
    entries_world world(2);
    world.at(1).holder.jobs[7] = job_state::running;
    world.lose_answers = 1;
    world.cancel(0, 7);
    world.run(milliseconds{50});
    REQUIRE(world.replies.size() == 1);
    CHECK(world.replies[0].state == job_state::cancelled);
    CHECK(world.at(0).cancels->stats().untold == 1);
}

TEST_CASE("a job is cancelled once, at however many entries that is asked")
{
    entries_world world;
    world.at(2).holder.jobs[7] = job_state::running;
    world.cancel(0, 7);
    world.cancel(0, 7);
    world.cancel(1, 7);
    world.run(milliseconds{20});
    REQUIRE(world.replies.size() == 3);
    for (const auto& reply : world.replies)
        CHECK(reply.state == job_state::cancelled);
    // Also when its holder remembers its end no more.
    world.at(2).holder.jobs.clear();
    world.cancel(1, 7);
    world.run(milliseconds{20});
    REQUIRE(world.replies.size() == 4);
    CHECK(world.replies[3].outcome == job_outcome::done);
    CHECK(world.replies[3].state == job_state::cancelled);
}

TEST_CASE("a cancel that overtakes its job bars it at every entry")
{
    entries_world world;
    world.cancel(0, 7);
    world.run(milliseconds{20});
    CHECK(world.replies.at(0).outcome == job_outcome::missing);
    for (int i = 0; i < 3; ++i)
        CHECK(world.at(i).cancels->refuse(7) == job_state::cancelled);
    CHECK_FALSE(world.at(0).cancels->refuse(8));
}

TEST_CASE("a cancel after the job's end tells how it ended")
{
    entries_world world;
    world.at(2).holder.jobs[7] = job_state::succeeded;
    world.cancel(0, 7);
    world.run(milliseconds{20});
    REQUIRE(world.replies.size() == 1);
    CHECK(world.replies[0].state == job_state::succeeded);
    CHECK(world.at(0).cancels->refuse(7) == job_state::succeeded);
}

TEST_CASE("for a kept job no other entry is asked")
{
    entries_world world;
    world.journal.insert(7);
    world.cancel(0, 7);
    REQUIRE(world.replies.size() == 1);
    CHECK(world.replies[0].state == job_state::cancelled);
    CHECK(world.at(0).cancels->stats().told == 0);
    CHECK(world.at(0).cancels->memory().size() == 0);
}

TEST_CASE("while the journal's owner is silent, jobs in memory are found")
{
    entries_world world;
    world.journal_silent = true;
    world.at(2).holder.jobs[7] = job_state::running;
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
    entries_world world;
    world.at(2).holder.jobs[7] = job_state::running;
    world.cancel(0, 7);
    world.run(seconds{1});
    world.start("entry-0"); // The one that took the cancel.
    CHECK_FALSE(world.at(0).cancels->refuse(7));
    world.run(milliseconds{20});
    CHECK(world.at(0).cancels->refuse(7) == job_state::cancelled);
    // No longer than the others remember it.
    world.run(seconds{60});
    CHECK_FALSE(world.at(0).cancels->refuse(7));
    CHECK_FALSE(world.at(1).cancels->refuse(7));
}

TEST_CASE("an entry that can't tell what it remembers is seldom asked")
{
    entries_world world(2);
    world.at(1).older = true;
    world.at(1).fetched = 0;
    world.start("entry-0");
    world.run(milliseconds{2990});
    CHECK(world.at(1).fetched == 3);
    world.at(1).older = false;
    world.run(milliseconds{1100});
    CHECK(world.at(1).fetched == 4);
    world.run(seconds{5});
    CHECK(world.at(1).fetched == 4);
}

TEST_CASE("a job that came again before the entry had learned is cancelled")
{
    entries_world world;
    world.cancel(0, 7);
    world.run(milliseconds{50});
    world.start("entry-1");
    world.at(1).holder.jobs[7] = job_state::queued;
    world.run(milliseconds{20});
    CHECK(world.at(1).holder.jobs[7] == job_state::cancelled);
}

TEST_CASE("cancels are remembered for a time and up to a number")
{
    remembered_cancels memory({seconds{10}, 3});
    const instant begin = seconds{100};
    CHECK(memory.note(1, begin));
    CHECK_FALSE(memory.note(1, begin + seconds{5}));
    CHECK(memory.note(2, begin + seconds{1}));
    memory.forget_old(begin + seconds{10});
    CHECK(memory.find(1) == nullptr);
    CHECK(memory.find(2) != nullptr);
    for (job_id id = 3; id <= 5; ++id)
        CHECK(memory.note(id, begin + seconds{10}));
    CHECK(memory.find(2) == nullptr);
    CHECK(memory.size() == 3);
    CHECK(memory.crowded_out() == 1);
}

TEST_CASE("more cancels than an entry answers at once are told in turn")
{
    entries_world world(2);
    world.at(1).frozen = true;
    for (job_id id = 1; id <= 100; ++id)
        world.cancel(0, id);
    world.run(milliseconds{50});
    CHECK(world.at(1).inbox.size() == world.settings.cancels_out);
    world.thaw(1);
    world.run(milliseconds{50});
    CHECK(world.replies.size() == 100);
    CHECK(world.at(1).cancels->memory().size() == 100);
}

TEST_CASE("a cancel lost with a link that fell silent is told once it is back")
{
    entries_world world(2);
    world.at(1).holder.jobs[7] = job_state::running;
    world.at(1).deaf = true;
    world.cancel(0, 7);
    world.run(seconds{4});
    CHECK(world.at(1).holder.jobs[7] == job_state::running);
    world.at(1).cut = true; // The link is dropped: its calls end unanswered.
    world.run(milliseconds{100});
    world.at(1).deaf = world.at(1).cut = false;
    world.run(milliseconds{100});
    CHECK(world.at(1).holder.jobs[7] == job_state::cancelled);
}
