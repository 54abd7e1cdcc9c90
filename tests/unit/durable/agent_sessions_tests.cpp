// Conclusions that an entry draws from successive sessions with one agent.
#include "glenhollow/core/run_after.hpp"
#include "glenhollow/durable/agent_sessions.hpp"
#include "glenhollow/rpc/rpc_listener.hpp"
#include "unit/support/manual_loop.hpp"

#include <catch2/catch.hpp>

using namespace glenhollow;

namespace
{

/// A session that accepts all calls and never reports.
class silent_session final : public wire::RunSession::Server
{
public:
    kj::Promise<void> adopt(AdoptContext) override { return kj::READY_NOW; }
    kj::Promise<void> order(OrderContext) override { return kj::READY_NOW; }
    kj::Promise<void> pace(PaceContext) override { return kj::READY_NOW; }
};

/// An agent that never reports, and whose process changes between sessions.
class silent_agent final : public wire::RunAgent::Server
{
public:
    /// @param processes The incarnation of each session; the last one repeats.
    explicit silent_agent(std::vector<std::uint64_t> processes)
        : processes_(std::move(processes))
    {
    }

    kj::Promise<void> attach(AttachContext context) override
    {
        auto out = context.getResults();
        out.setSession(kj::heap<silent_session>());
        out.setIncarnation(
            processes_[std::min(attached_++, processes_.size() - 1)]);
        return kj::READY_NOW;
    }

private:
    std::vector<std::uint64_t> processes_;
    std::size_t attached_ = 0;
};

/// Records which accounts of the entry's jobs in memory are complete.
struct recording_entry : agent_session_listener
{
    void agent_attached(const std::string&, const server_report&) override {}
    void agent_detached(const std::string&) override {}
    void agent_ordered(const std::string&) override {}
    void agent_adopted(const std::string&, part_epoch,
                       const lease_account& account) override
    {
        complete.push_back(account.complete);
    }
    void agent_reported(const std::string&, const server_report&,
                        const std::vector<run_end>&,
                        const std::vector<run_ref>&) override
    {
    }
    std::vector<run_end> take_confirmed(const std::string&) override
    {
        return {};
    }
    std::vector<part_epoch> owned_parts() const override
    {
        return {{memory_part, 0}};
    }
    duration room_report_interval(const std::string&,
                                  std::size_t) const override
    {
        return milliseconds{1};
    }
    bool places_for_others(const std::string&) const override { return false; }
    bool places_at(const std::string&) const override { return true; }
    hall_evacuation evacuation_of(const std::string&) const override
    {
        return {};
    }

    std::vector<bool> complete;
};

} // namespace

TEST_CASE("an account is complete only from the process that sent the last one")
{
    rpc_loop loop;
    recording_entry entry;
    agent_sessions_settings limits;
    limits.entry = "entry";
    manual_loop time;
    agent_sessions sessions(loop.io(), time.clock, entry, limits);
    auto listener = rpc_listener::create(loop.io(), "127.0.0.1", 0);
    REQUIRE(listener);
    auto& links = *listener.value();
    std::size_t accounts_seen = 0;
    std::function<void()> step = [&]
    {
        if (entry.complete.size() == 5)
            return loop.stop();
        if (entry.complete.size() > accounts_seen)
        {
            accounts_seen = entry.complete.size();
            time.advance(limits.silence + milliseconds{10});
            sessions.tick(); // Drops the silent session.
            time.advance(limits.link.max_backoff);
        }
        sessions.tick();
        run_after(loop.io(), milliseconds{2}, step);
    };
    loop.run(
        [&]
        {
            links.serve(kj::heap<silent_agent>(
                std::vector<std::uint64_t>{7, 7, 8, 8, 7}));
            sessions.add("agent", {"127.0.0.1", links.port()});
            step();
        },
        [&]
        {
            sessions.close();
            links.close();
        });
    CHECK(entry.complete == std::vector<bool>{false, true, false, true, false});
}
