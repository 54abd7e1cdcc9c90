#include "glenhollow/entry/coordinator.hpp"

#include "fake_sender.hpp"

#include <catch2/catch.hpp>

using namespace glenhollow;

namespace
{

/// A coordinator whose runners have two slots each.
struct fixture
{
    manual_clock clock;
    fake_sender sender;
    coordinator jobs;
    std::vector<job_answer> answers;

    explicit fixture(const coordinator_settings& settings = {},
                     runner_index runners = 2)
        : jobs(clock, sender, 77, settings, 1)
    {
        for (runner_index i = 0; i < runners; ++i)
            jobs.link_up(i, true, report());
    }

    static load_report report()
    {
        load_report load;
        load.slots = 2;
        return load;
    }

    static job_request request(std::size_t tasks, bool repeatable = false)
    {
        job_request job;
        job.team = "desk";
        job.deadline = seconds{10};
        job.repeatable = repeatable;
        for (std::size_t i = 0; i < tasks; ++i)
            job.payloads.push_back(std::to_string(i));
        job.body_hash = 1000 + tasks;
        return job;
    }

    std::uint64_t submit(const job_request& job)
    {
        const auto id = jobs.issue_id();
        submit(id.sequence, job);
        return id.sequence;
    }

    void submit(std::uint64_t sequence, const job_request& job)
    {
        jobs.submit(sequence, job, std::nullopt,
                    [this](const job_answer& answer)
                    { answers.push_back(answer); });
        jobs.dispatch();
    }

    void end(std::size_t position, verdict what, reason why = reason::none)
    {
        const auto& [runner, start] = sender.sent.at(position);
        task_end done;
        done.key = start.key;
        done.end = {what, why};
        done.body = "\"" + std::to_string(start.key.task) + "\"";
        done.run_micros = 1000;
        jobs.task_ended(runner, done);
        load_report after = report();
        after.busy = jobs.runners()[runner].outstanding;
        jobs.report_load(runner, after);
        jobs.dispatch();
    }

    void advance_time(duration time)
    {
        clock.advance(time);
        jobs.tick();
    }
};

bool body_contains(const job_answer& answer, const std::string& part)
{
    return answer.body.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("a job is answered once, with all results in task order")
{
    fixture f;
    f.submit(fixture::request(3));
    REQUIRE(f.sender.sent.size() == 3);
    f.end(2, verdict::ran);
    f.end(0, verdict::ran);
    REQUIRE(f.answers.empty());
    f.end(1, verdict::ran);
    REQUIRE(f.answers.size() == 1);
    REQUIRE(body_contains(f.answers[0], R"("results":["0","1","2"])"));
}

TEST_CASE("a resubmission joins the job or gets the kept answer")
{
    fixture f;
    const auto sequence = f.submit(fixture::request(1));
    f.submit(sequence, fixture::request(1));
    REQUIRE(f.sender.sent.size() == 1);
    f.end(0, verdict::ran);
    REQUIRE(f.answers.size() == 2);
    f.submit(sequence, fixture::request(1));
    REQUIRE(f.answers.size() == 3);
    REQUIRE(f.answers[2].body == f.answers[0].body);
    REQUIRE(f.sender.sent.size() == 1);
}

TEST_CASE("a resubmission with another body is refused and runs nothing")
{
    fixture f;
    const auto sequence = f.submit(fixture::request(1));
    f.submit(sequence, fixture::request(2));
    REQUIRE(f.answers.back().status == 409);
    REQUIRE(body_contains(f.answers.back(), "body_conflict"));
    REQUIRE(f.sender.sent.size() == 1);
}

TEST_CASE("unknown ids are refused as not_run, expired ones as may_have_run")
{
    fixture f;
    f.submit(999, fixture::request(1));
    REQUIRE(f.answers.back().status == 404);
    REQUIRE(body_contains(f.answers.back(), R"("verdict":"not_run")"));
    const auto sequence = f.submit(fixture::request(1));
    f.end(0, verdict::ran);
    f.advance_time(seconds{121});
    REQUIRE(f.jobs.jobs() == 0);
    f.submit(sequence, fixture::request(1));
    REQUIRE(f.answers.back().status == 410);
    REQUIRE(body_contains(f.answers.back(), R"("verdict":"may_have_run")"));
    REQUIRE(f.sender.sent.size() == 1);
}

TEST_CASE("a task that may have run fails its job and is never restarted")
{
    fixture f;
    f.submit(fixture::request(4));
    f.end(0, verdict::may_have_run, reason::link_broken);
    REQUIRE(f.answers.size() == 1);
    REQUIRE(body_contains(f.answers[0], R"("state":"failed")"));
    REQUIRE(body_contains(f.answers[0], R"("verdict":"may_have_run")"));
    // Later ends neither change the answer nor start a task.
    f.end(1, verdict::ran);
    f.advance_time(seconds{20});
    REQUIRE(f.answers.size() == 1);
    REQUIRE(f.sender.sent.size() == 4);
}

TEST_CASE("a repeatable request is restarted after it may have run")
{
    fixture f;
    f.submit(fixture::request(1, true));
    f.end(0, verdict::may_have_run, reason::link_broken);
    REQUIRE(f.answers.empty());
    f.advance_time(seconds{1});
    REQUIRE(f.sender.sent.size() == 2);
    REQUIRE(f.sender.sent[1].first != f.sender.sent[0].first);
    f.end(1, verdict::ran);
    REQUIRE(body_contains(f.answers.at(0), "complete"));
}

TEST_CASE("a refused task is sent to another runner")
{
    fixture f;
    f.submit(fixture::request(1));
    f.end(0, verdict::not_run, reason::runner_refused);
    f.advance_time(seconds{1});
    REQUIRE(f.sender.sent.size() == 2);
    REQUIRE(f.sender.sent[1].first != f.sender.sent[0].first);
}

TEST_CASE("a refused task is resent to the only runner")
{
    fixture f({}, 1);
    f.submit(fixture::request(1));
    f.end(0, verdict::not_run, reason::runner_refused);
    f.advance_time(seconds{1});
    REQUIRE(f.sender.sent.size() == 2);
}

TEST_CASE("retries are limited by the budget of the team")
{
    coordinator_settings settings;
    settings.retry.initial_budget = 2;
    fixture f(settings);
    f.submit(fixture::request(1));
    for (std::size_t i = 0; i < 3; ++i)
    {
        f.end(i, verdict::not_run, reason::runner_refused);
        f.advance_time(seconds{1});
    }
    // The initial budget allows 2 retries; the task itself earns only 0.1.
    REQUIRE(f.sender.sent.size() == 3);
    REQUIRE(f.answers.size() == 1);
    REQUIRE(body_contains(f.answers[0], R"("verdict":"not_run")"));
    REQUIRE(body_contains(f.answers[0], "runner_refused"));
}

TEST_CASE("a job without a start by its deadline is answered as not_run")
{
    fixture f;
    f.submit(fixture::request(4));
    f.submit(fixture::request(1));
    f.advance_time(seconds{10});
    REQUIRE(f.answers.size() == 2);
    REQUIRE(body_contains(f.answers[0], R"("verdict":"may_have_run")"));
    REQUIRE(body_contains(f.answers[1], R"("verdict":"not_run")"));
    REQUIRE(body_contains(f.answers[1], "deadline_passed"));
    // A slot that becomes free after the deadline starts no task of it.
    f.end(0, verdict::ran);
    REQUIRE(f.sender.sent.size() == 4);
}

TEST_CASE("a drained runner gets no start, whatever its agent reports")
{
    fixture f;
    f.jobs.set_drained(0, true, reason::operator_command);
    f.submit(fixture::request(4));
    REQUIRE(f.sender.sent.size() == 2);
    for (const auto& [runner, start] : f.sender.sent)
        REQUIRE(runner == 1);
    f.jobs.report_load(0, fixture::report());
    f.jobs.dispatch();
    REQUIRE(f.sender.sent.size() == 2);
    f.jobs.set_drained(0, false, reason::operator_command);
    f.jobs.dispatch();
    REQUIRE(f.sender.sent.size() == 4);
}

TEST_CASE("an adopted coordinator fails its jobs and starts no more tasks")
{
    fixture f;
    f.submit(fixture::request(6));
    f.end(0, verdict::not_run, reason::fenced);
    REQUIRE(f.jobs.fenced());
    REQUIRE(body_contains(f.answers.at(0), R"("state":"failed")"));
    f.submit(fixture::request(1));
    REQUIRE(f.answers.back().status == 503);
    f.advance_time(seconds{5});
    REQUIRE(f.sender.sent.size() == 4);
}

TEST_CASE("a stopping coordinator refuses new jobs and answers known ones")
{
    fixture f;
    const auto sequence = f.submit(fixture::request(1));
    f.jobs.stop_accepting();
    f.submit(fixture::request(1));
    REQUIRE(f.answers.back().status == 503);
    REQUIRE(body_contains(f.answers.back(), R"("verdict":"not_run")"));
    f.end(0, verdict::ran);
    f.submit(sequence, fixture::request(1));
    REQUIRE(body_contains(f.answers.back(), "complete"));
    REQUIRE(f.jobs.idle());
}

TEST_CASE("cancel stops only tasks that have not been sent")
{
    fixture f;
    const auto sequence = f.submit(fixture::request(6));
    const auto cancelled = f.jobs.cancel(sequence);
    REQUIRE(cancelled.value() == 2);
    REQUIRE(body_contains(f.answers.at(0), "cancelled"));
    f.end(0, verdict::ran);
    REQUIRE(f.sender.sent.size() == 4);
    REQUIRE_FALSE(f.jobs.cancel(sequence));
    REQUIRE_FALSE(f.jobs.cancel(12345));
}

TEST_CASE("results are acknowledged after a delay once the job is answered")
{
    fixture f;
    f.submit(fixture::request(2));
    f.end(0, verdict::ran);
    f.advance_time(seconds{8});
    f.end(1, verdict::ran);
    f.advance_time(seconds{19});
    REQUIRE(f.sender.acknowledged.size() <= 1);
    f.advance_time(seconds{21});
    std::size_t keys = 0;
    for (const auto& [runner, known] : f.sender.acknowledged)
        keys += known.size();
    REQUIRE(keys == 2);
}

TEST_CASE(
    "new jobs are refused, and no answer dropped, at the limit of kept answers")
{
    coordinator_settings settings;
    settings.admission.max_kept_bytes = 600;
    fixture f(settings);
    std::vector<std::uint64_t> taken;
    for (std::size_t i = 0; i < 5; ++i)
    {
        const auto before = f.sender.sent.size();
        const auto sequence = f.submit(fixture::request(1));
        if (f.sender.sent.size() == before)
            break;
        f.end(before, verdict::ran);
        taken.push_back(sequence);
    }
    REQUIRE(f.answers.back().status == 503);
    REQUIRE(body_contains(f.answers.back(), "kept_answers_full"));
    for (const auto sequence : taken)
        REQUIRE(body_contains(f.jobs.lookup(sequence), "complete"));
}

TEST_CASE("a quota of 0 refuses all jobs of the team")
{
    fixture f;
    f.jobs.quota().set_quota("desk", 0);
    f.submit(fixture::request(1));
    REQUIRE(f.answers.back().status == 429);
    REQUIRE(body_contains(f.answers.back(), "team_quota"));
    REQUIRE(f.answers.back().retry_after >= seconds{1});
    REQUIRE(f.sender.sent.empty());
}

TEST_CASE("the decision ring records all decisions about a task")
{
    fixture f;
    const auto sequence = f.submit(fixture::request(1));
    f.end(0, verdict::not_run, reason::runner_refused);
    f.advance_time(seconds{1});
    f.end(1, verdict::ran);
    std::vector<decision_kind> kinds;
    f.jobs.ring().for_each(
        [&](const decision_record& record)
        {
            if (record.sequence == sequence)
                kinds.push_back(record.kind);
        });
    REQUIRE(kinds == std::vector<decision_kind>{
                         decision_kind::admitted, decision_kind::placed,
                         decision_kind::ended, decision_kind::retried,
                         decision_kind::placed, decision_kind::ended,
                         decision_kind::completed});
}
