#include "glenhollow/hosting/liveness_evidence.hpp"

#include <catch2/catch.hpp>

using namespace glenhollow;

namespace
{

constexpr instant opened = seconds{100};
constexpr std::uint64_t opening = 1;

} // namespace

TEST_CASE("a delayed message proves no later time than a prompt one")
{
    liveness_evidence evidence(opened);
    evidence.record_message({opening, milliseconds{50}}, opened + seconds{3});
    CHECK(evidence.alive_at() <= opened + milliseconds{50});
    CHECK(evidence.alive_at() > opened + milliseconds{45});
}

TEST_CASE("a proof counts from the answer that it names")
{
    liveness_evidence evidence(opened);
    const auto first = opened + milliseconds{200};
    const auto number = evidence.record_answer(first);
    evidence.record_message({number, duration{0}}, first + milliseconds{5});
    CHECK(evidence.alive_at() == first);
    // The next answer is still on its way when this message is sent.
    const auto second = first + milliseconds{200};
    evidence.record_answer(second);
    evidence.record_message({number, milliseconds{100}}, second);
    CHECK(evidence.alive_at() < second);
    CHECK(evidence.alive_at() >= first + milliseconds{98});
}

TEST_CASE("a proof never goes back, and never into the future")
{
    liveness_evidence evidence(opened);
    evidence.record_message({opening, milliseconds{500}}, opened + seconds{1});
    const auto alive_at = evidence.alive_at();
    evidence.record_message({opening, duration{0}}, opened + seconds{1});
    CHECK(evidence.alive_at() == alive_at);
    evidence.record_message({opening, seconds{60}}, opened + seconds{2});
    CHECK(evidence.alive_at() == opened + seconds{2});
}

TEST_CASE("a proof of an unknown answer counts for nothing")
{
    liveness_evidence evidence(opened);
    evidence.record_answer(opened + milliseconds{100});
    evidence.record_answer(opened + milliseconds{200});
    for (const std::uint64_t answer : {1, 4, 99})
        evidence.record_message({answer, seconds{1}}, opened + seconds{5});
    CHECK(evidence.alive_at() == opened);
}

TEST_CASE("a message of an older version counts from its receipt")
{
    liveness_evidence evidence(opened);
    evidence.record_message({}, opened + seconds{1});
    CHECK(evidence.alive_at() == opened + seconds{1});
}
