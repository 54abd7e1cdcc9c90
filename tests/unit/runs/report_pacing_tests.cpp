#include "glenhollow/durable/agent_view.hpp"
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
    std::vector<report_marks> all(sessions, {false, true, begin});
    int sent = 0;
    for (auto now = begin; now < begin + seconds{1}; now += milliseconds{1})
    {
        for (auto& marks : all)
        {
            if (!pacing.is_due(marks, sessions, now))
                continue;
            marks.reported = now;
            ++sent;
        }
    }
    return sent;
}

runner_report whole_report()
{
    runner_report report;
    report.account.service = "service-1";
    report.account.capacity = {16000, 64000, 0};
    report.account.phase = runner_phase::ready;
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

TEST_CASE("an entry asks for as many reports as it can bear, not per agent")
{
    report_budget budget({});
    CHECK(budget.gap(11) < milliseconds{10});
    CHECK(budget.gap(6600) == seconds{1});
    const auto quick = budget.gap(70);
    for (int i = 0; i < 20; ++i)
        budget.note_tick(milliseconds{30}); // A small machine, or a busy one.
    CHECK(budget.gap(70) > 4 * quick);
    CHECK(budget.gap(70) < milliseconds{500});
    for (int i = 0; i < 400; ++i)
        budget.note_tick(milliseconds{1});
    CHECK(budget.gap(70) == quick);
}

TEST_CASE("an agent heeds the gap that an entry asks for")
{
    const report_pacing pacing({});
    const report_marks marks{false, true, begin, milliseconds{100}};
    CHECK_FALSE(pacing.is_due(marks, 3, begin + milliseconds{50}));
    CHECK(pacing.is_due(marks, 3, begin + milliseconds{100}));
}

TEST_CASE("ends are told at once, and something within each heartbeat")
{
    const report_pacing pacing({});
    CHECK(pacing.is_due({true, false, begin}, 12, begin));
    CHECK_FALSE(pacing.is_due({false, false, begin}, 12, begin));
    CHECK(pacing.is_due({false, false, begin}, 12, begin + milliseconds{200}));
}

TEST_CASE("a report without the account keeps what was told before")
{
    agent_view view("agent-1");
    view.attached(whole_report());
    runner_report report;
    report.whole = false;
    report.account.phase = runner_phase::draining;
    report.room.used = {1600, 64, 0};
    view.reported(report);
    CHECK(view.account().service == "service-1");
    CHECK(view.account().capacity.cpu == 16000);
    CHECK(view.account().phase == runner_phase::draining);
    CHECK(view.used().cpu == 1600);
}
