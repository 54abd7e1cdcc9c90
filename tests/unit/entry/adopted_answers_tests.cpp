#include "glenhollow/entry/adopted_answers.hpp"

#include <catch2/catch.hpp>

using namespace glenhollow;

namespace
{

fenced_record record(std::uint64_t sequence, std::uint32_t task,
                     std::uint32_t tasks, verdict what)
{
    fenced_record made;
    made.key = {sequence, task};
    made.end = {what, reason::none};
    made.body = std::to_string(task);
    made.body_hash = 5;
    made.job_tasks = tasks;
    return made;
}

bool body_contains(const job_answer& answer, const std::string& part)
{
    return answer.body.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("a job is answered complete only if agents hold all its results")
{
    adopted_answers answers("h1", "e1", 9);
    answers.add({record(1, 1, 2, verdict::ran)});
    REQUIRE(body_contains(answers.answer(1, 5), "may_have_run"));
    answers.add({record(1, 0, 2, verdict::ran)});
    REQUIRE(body_contains(answers.answer(1, 5), R"("results":[0,1])"));
    REQUIRE(body_contains(answers.answer(1, std::nullopt), "complete"));
    answers.add({record(2, 0, 2, verdict::ran),
                 record(2, 1, 2, verdict::may_have_run)});
    REQUIRE(body_contains(answers.answer(2, 5), "entry_lost"));
    REQUIRE(answers.complete_jobs() == 1);
}

TEST_CASE(
    "a handed over answer is returned unchanged and another body is refused")
{
    adopted_answers answers("h1", "e1", 9);
    job_answer kept;
    kept.body = "kept";
    answers.add_kept_answers({{4, 6, kept}});
    REQUIRE(answers.answer(4, 6).body == "kept");
    REQUIRE(answers.answer(4, 7).status == 409);
    answers.add({record(1, 0, 1, verdict::ran)});
    REQUIRE(answers.answer(1, 99).status == 409);
}

TEST_CASE("a job without any record is answered as may_have_run")
{
    adopted_answers answers("h1", "e1", 9);
    REQUIRE(body_contains(answers.answer(8, 5), R"("verdict":"may_have_run")"));
}
