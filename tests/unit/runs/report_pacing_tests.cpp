#include "glenhollow/durable/agent_sessions.hpp"
#include "glenhollow/durable/agent_view.hpp"
#include "glenhollow/durable/exchange_pacing.hpp"
#include "glenhollow/durable/report_budget.hpp"
#include "glenhollow/runs/report_pacing.hpp"

#include <catch2/catch.hpp>

using namespace glenhollow;

namespace
{

constexpr instant begin = seconds{10};

/// @return Reports of room in a second in which it changes all the time.
int reports_a_second(std::size_t sessions)
{
    const report_pacing pacing({});
    std::vector<report_status> all(sessions, {false, true, begin});
    int sent = 0;
    for (auto now = begin; now < begin + seconds{1}; now += milliseconds{1})
    {
        for (auto& status : all)
        {
            if (!pacing.is_due(status, sessions, now))
                continue;
            status.reported = now;
            ++sent;
        }
    }
    return sent;
}

server_report whole_report()
{
    server_report report;
    report.account.service = "service-1";
    report.account.capacity = {16000, 64000, 0};
    report.account.phase = server_phase::ready;
    return report;
}

} // namespace

TEST_CASE("reports of room cost an agent alike, however many entries")
{
    // Found on the grown deployments: twelve entries, each told each change.
    CHECK(reports_a_second(12) <= reports_a_second(1));
    CHECK(reports_a_second(48) <= reports_a_second(1));
    CHECK(reports_a_second(12) >= 200);
}

TEST_CASE("reports to entries without runs here do not grow with their number")
{
    // Found at 55 entries and 240 agents: 66,000 reports a second without a
    // job, most of the processor time of all processes.
    const report_pacing pacing({});
    for (const std::size_t entries : {3U, 12U, 55U})
    {
        const auto gap = pacing.heartbeat({}, entries);
        const auto most = entries > 12 ? 25.1 : 12.6;
        CHECK(entries / std::chrono::duration<double>(gap).count() <= most);
    }
    // Found at 55 entries: heard of each 4 s, agents that had gone drew orders.
    CHECK(pacing.heartbeat({}, 55) <= milliseconds{2200});
    CHECK(pacing.heartbeat({}, 2) == milliseconds{200});
    CHECK(pacing.heartbeat({}, 3) == milliseconds{240});
    CHECK(pacing.heartbeat({}, 1000) == seconds{4});
}

TEST_CASE("an entry with runs here, or that places, hears five times a second")
{
    const report_pacing pacing({});
    report_status busy;
    busy.busy = true;
    report_status placer;
    placer.is_placer = true;
    CHECK(pacing.heartbeat(busy, 55) == busy_report_interval);
    CHECK(pacing.heartbeat(placer, 55) == busy_report_interval);
    busy.reported = begin;
    CHECK(pacing.is_due(busy, 55, begin + milliseconds{200}));
    CHECK_FALSE(
        pacing.is_due({false, false, begin}, 55, begin + milliseconds{200}));
}

TEST_CASE("an agent counts as silent only once its next report is due")
{
    CHECK(silent_since(begin, milliseconds{200}) == begin);
    CHECK(silent_since(begin, milliseconds{2200}) == begin + seconds{2});
    CHECK(silent_since(begin, {}) == begin); // One that announces nothing.
}

TEST_CASE("an agent's clock is never thought to be ahead of what it shows")
{
    agent_clock clock;
    CHECK_FALSE(clock.at(begin).has_value());
    clock.on_report(seconds{500}, begin);
    CHECK(clock.at(begin) == instant{seconds{500}});
    // Two seconds later by this entry's clock, which may be the quicker one.
    const auto later = clock.at(begin + seconds{2});
    REQUIRE(later.has_value());
    CHECK(*later <= seconds{500} + milliseconds{1960});
    CHECK(*later >= seconds{500} + milliseconds{1900});
    CHECK(clock.at(begin - seconds{1}) == instant{seconds{500}});
    clock.reset();
    CHECK_FALSE(clock.at(begin).has_value());
}

TEST_CASE("exchanges between entries do not grow with their number")
{
    const exchange_pacing pacing({});
    CHECK(pacing.interval(3) == milliseconds{250});
    CHECK(pacing.interval(54) == milliseconds{540});
    CHECK(pacing.silence(3) == milliseconds{1000});
    CHECK(pacing.silence(54) >= 3 * pacing.interval(54));
    // One side begins them; the other one only if it does not.
    CHECK(pacing.is_due(true, begin, 3, begin + milliseconds{250}));
    CHECK_FALSE(pacing.is_due(false, begin, 3, begin + milliseconds{250}));
    CHECK(pacing.is_due(false, begin, 3, begin + milliseconds{375}));
}

TEST_CASE("an entry asks for as many reports as it can bear, not per agent")
{
    report_budget budget({});
    CHECK(budget.gap(11) < milliseconds{10});
    CHECK(budget.gap(6600) == seconds{1});
    const auto quick = budget.gap(70);
    for (int i = 0; i < 20; ++i)
        budget.record_tick(milliseconds{30}); // A small machine, or a busy one.
    CHECK(budget.gap(70) > 4 * quick);
    CHECK(budget.gap(70) < milliseconds{500});
    for (int i = 0; i < 400; ++i)
        budget.record_tick(milliseconds{1});
    CHECK(budget.gap(70) == quick);
}

TEST_CASE("an agent heeds the gap that an entry asks for")
{
    const report_pacing pacing({});
    const report_status status{false, true, begin, milliseconds{100}};
    CHECK_FALSE(pacing.is_due(status, 3, begin + milliseconds{50}));
    CHECK(pacing.is_due(status, 3, begin + milliseconds{100}));
}

TEST_CASE("ends are told at once, and something within each heartbeat")
{
    const report_pacing pacing({});
    CHECK(pacing.is_due({true, false, begin}, 12, begin));
    CHECK_FALSE(pacing.is_due({false, false, begin}, 12, begin));
    report_status with_runs{false, false, begin};
    with_runs.busy = true;
    CHECK(pacing.is_due(with_runs, 12, begin + milliseconds{200}));
    CHECK(pacing.is_due({false, false, begin}, 12, begin + milliseconds{960}));
}

TEST_CASE("a report without the account keeps what was told before")
{
    agent_view view("agent-1");
    view.attached(whole_report());
    server_report report;
    report.has_account = false;
    report.account.phase = server_phase::draining;
    report.load.used = {1600, 64, 0};
    view.reported(report);
    CHECK(view.account().service == "service-1");
    CHECK(view.account().capacity.cpu == 16000);
    CHECK(view.account().phase == server_phase::draining);
    CHECK(view.used().cpu == 1600);
}
