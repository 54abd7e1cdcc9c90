#include "glenhollow/explain/decision_ring.hpp"
#include "glenhollow/explain/night_report.hpp"

#include <catch2/catch.hpp>

#include <sstream>

using namespace glenhollow;

namespace
{

report_line make_refusal(int number)
{
    report_line line;
    line.wall = number;
    line.entry = "e1";
    line.kind = decision_kind::refused;
    line.why = reason::queue_full;
    line.submission = "s" + std::to_string(number);
    return line;
}

std::size_t count_lines(const std::string& batch)
{
    return static_cast<std::size_t>(
        std::count(batch.begin(), batch.end(), '\n'));
}

} // namespace

TEST_CASE("a full decision ring keeps the latest decisions in order")
{
    decision_ring ring(4);
    for (std::uint64_t i = 1; i <= 10; ++i)
    {
        decision_record record;
        record.sequence = i;
        ring.add(record);
    }
    std::vector<std::uint64_t> kept;
    ring.for_each([&](const auto& record) { kept.push_back(record.sequence); });
    REQUIRE(kept == std::vector<std::uint64_t>{7, 8, 9, 10});
    REQUIRE(ring.total() == 10);
}

TEST_CASE("a report line is unchanged after serializing and parsing")
{
    auto line = make_refusal(5);
    line.by = "anna";
    line.detail = "a \"quoted\" text";
    const auto read = report_line::from_json(line.to_json());
    REQUIRE(read);
    REQUIRE(read->to_json() == line.to_json());
    REQUIRE_FALSE(report_line::from_json("{}"));
}

TEST_CASE("lines whose write failed are written again in the same order")
{
    night_report report;
    report.add(make_refusal(1));
    report.add(make_refusal(2));
    const auto first = report.take_batch();
    report.failed();
    report.add(make_refusal(3));
    REQUIRE(report.take_batch().starts_with(first));
    report.written();
    REQUIRE(report.empty());
}

TEST_CASE("lines beyond the limit are counted in summaries, not lost")
{
    night_report_settings small;
    small.max_lines = 10;
    night_report report(small);
    for (int i = 0; i < 25; ++i)
        report.add(make_refusal(i));
    REQUIRE(report.size() == 10);
    REQUIRE(report.summarized_lines() == 15);
    const auto batch = report.take_batch();
    REQUIRE(count_lines(batch) == 11);
    REQUIRE(batch.find("15 older lines") != std::string::npos);
    report.failed();
    REQUIRE(report.take_batch().find("15 older lines") != std::string::npos);
    // Merging a shard's report keeps its summaries.
    night_report whole;
    whole.merge(report);
    REQUIRE(whole.summarized_lines() == 15);
}
