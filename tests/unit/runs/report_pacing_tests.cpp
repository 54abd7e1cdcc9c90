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

/// @return Number of load reports in a second of continuous changes.
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

TEST_CASE("the rate of load reports does not grow with the number of entries")
{
    CHECK(reports_a_second(12) <= reports_a_second(1));
    CHECK(reports_a_second(48) <= reports_a_second(1));
    CHECK(reports_a_second(12) >= 200);
}

TEST_CASE("the rate of idle reports does not grow with the number of entries")
{
    const report_pacing pacing({});
    for (const std::size_t entries : {3U, 12U, 55U})
    {
        const auto gap = pacing.heartbeat({}, entries);
        const auto most = entries > 12 ? 25.1 : 12.6;
        CHECK(entries / std::chrono::duration<double>(gap).count() <= most);
    }
    // Agents that have gone must not receive orders for long.
    CHECK(pacing.heartbeat({}, 55) <= milliseconds{2200});
    CHECK(pacing.heartbeat({}, 2) == milliseconds{200});
    CHECK(pacing.heartbeat({}, 3) == milliseconds{240});
    CHECK(pacing.heartbeat({}, 1000) == seconds{4});
}

TEST_CASE("busy entries and placers get five reports a second")
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

TEST_CASE("an agent counts as silent only after its next report was due")
{
    CHECK(silent_since(begin, milliseconds{200}) == begin);
    CHECK(silent_since(begin, milliseconds{2200}) == begin + seconds{2});
    CHECK(silent_since(begin, {}) == begin); // No interval announced.
}

TEST_CASE("the estimate of an agent's clock is never ahead of it")
{
    agent_clock clock;
    CHECK_FALSE(clock.at(begin).has_value());
    clock.on_report(seconds{500}, begin);
    CHECK(clock.at(begin) == instant{seconds{500}});
    // Two seconds later by this entry's clock, which may run faster.
    const auto later = clock.at(begin + seconds{2});
    REQUIRE(later.has_value());
    CHECK(*later <= seconds{500} + milliseconds{1960});
    CHECK(*later >= seconds{500} + milliseconds{1900});
    // One second earlier by this entry's clock, which may run slower.
    const auto earlier = clock.at(begin - seconds{1});
    REQUIRE(earlier.has_value());
    CHECK(*earlier <= seconds{499} - milliseconds{20});
    CHECK(*earlier >= seconds{499} - milliseconds{50});
    clock.reset();
    CHECK_FALSE(clock.at(begin).has_value());
}

TEST_CASE("the rate of exchanges does not grow with the number of entries")
{
    const exchange_pacing pacing({});
    CHECK(pacing.interval(3) == milliseconds{250});
    CHECK(pacing.interval(54) == milliseconds{540});
    CHECK(pacing.silence(3) == milliseconds{1000});
    CHECK(pacing.silence(54) >= 3 * pacing.interval(54));
    // One side starts the exchange, the other only if it does not.
    CHECK(pacing.is_due(true, begin, 3, begin + milliseconds{250}));
    CHECK_FALSE(pacing.is_due(false, begin, 3, begin + milliseconds{250}));
    CHECK(pacing.is_due(false, begin, 3, begin + milliseconds{375}));
}

TEST_CASE("an entry bounds the total rate of its reports")
{
    report_budget budget({});
    CHECK(budget.gap(11) < milliseconds{10});
    CHECK(budget.gap(6600) == seconds{1});
    const auto quick = budget.gap(70);
    for (int i = 0; i < 20; ++i)
        budget.record_tick(milliseconds{30}); // A slow or busy VM.
    CHECK(budget.gap(70) > 4 * quick);
    CHECK(budget.gap(70) < milliseconds{500});
    for (int i = 0; i < 400; ++i)
        budget.record_tick(milliseconds{1});
    CHECK(budget.gap(70) == quick);
}

TEST_CASE("an agent respects the requested report interval")
{
    const report_pacing pacing({});
    const report_status status{false, true, begin, milliseconds{100}};
    CHECK_FALSE(pacing.is_due(status, 3, begin + milliseconds{50}));
    CHECK(pacing.is_due(status, 3, begin + milliseconds{100}));
}

TEST_CASE("ends are reported at once, and something in each heartbeat "
          "interval")
{
    const report_pacing pacing({});
    CHECK(pacing.is_due({true, false, begin}, 12, begin));
    CHECK_FALSE(pacing.is_due({false, false, begin}, 12, begin));
    report_status with_runs{false, false, begin};
    with_runs.busy = true;
    CHECK(pacing.is_due(with_runs, 12, begin + milliseconds{200}));
    CHECK(pacing.is_due({false, false, begin}, 12, begin + milliseconds{960}));
}

TEST_CASE("a report without an account keeps the previous account")
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
