#include "glenhollow/decision/queue_order.hpp"

#include <catch2/catch.hpp>

#include <map>

using namespace glenhollow;

namespace
{

queued_job job(std::uint64_t sequence, std::size_t tasks,
               const std::string& team = "a", duration arrived = {},
               duration deadline = seconds{100})
{
    queued_job result;
    result.sequence = sequence;
    result.team = team;
    result.arrived = arrived;
    result.deadline = deadline;
    result.tasks_left = tasks;
    result.seconds_per_task = 0.1;
    return result;
}

job_queue queue_of(queue_order_kind order)
{
    job_queue_settings settings;
    settings.order = order;
    return job_queue(settings);
}

std::uint64_t take(job_queue& queue)
{
    const auto sequence = queue.front().value();
    queue.take_task(sequence);
    return sequence;
}

} // namespace

TEST_CASE("each order starts the job that its criterion ranks first")
{
    const auto first_job_in = [](queue_order_kind order)
    {
        auto queue = queue_of(order);
        queue.push(job(1, 50, "a", seconds{1}, seconds{9}));
        queue.push(job(2, 2, "a", seconds{2}, seconds{30}));
        queue.push(job(3, 20, "a", seconds{3}, seconds{5}));
        return queue.front().value();
    };
    REQUIRE(first_job_in(queue_order_kind::first_come) == 1);
    REQUIRE(first_job_in(queue_order_kind::least_work) == 2);
    REQUIRE(first_job_in(queue_order_kind::earliest_deadline) == 3);
}

TEST_CASE("a change of order reorders the queued jobs")
{
    auto queue = queue_of(queue_order_kind::first_come);
    queue.push(job(1, 50, "a", seconds{1}));
    queue.push(job(2, 1, "a", seconds{2}));
    job_queue_settings settings;
    settings.order = queue_order_kind::least_work;
    queue.apply(settings);
    REQUIRE(queue.front() == 2U);
}

TEST_CASE("a large job is not starved by a stream of small jobs")
{
    auto queue = queue_of(queue_order_kind::least_work);
    queue.push(job(1, 100));
    std::size_t steps = 0;
    // One small job arrives for each task taken, every 0.1 s.
    for (std::uint64_t next = 2; steps < 2000; ++steps, ++next)
    {
        queue.push(job(next, 1, "a", milliseconds{100 * steps}));
        if (take(queue) == 1)
            break;
    }
    // Later jobs overtake 10 s of work for at most 10 / aging = 40 s.
    REQUIRE(steps <= 400);
}

TEST_CASE("teams share the starts by weight, not by queue length")
{
    auto queue = queue_of(queue_order_kind::first_come);
    queue.set_weight("b", 3);
    queue.push(job(1, 1000, "a"));
    queue.push(job(2, 1000, "b"));
    queue.push(job(3, 1000, "b"));
    std::map<bool, int> taken;
    for (int i = 0; i < 400; ++i)
        ++taken[take(queue) == 1];
    REQUIRE(taken[true] == 100);
    REQUIRE(taken[false] == 300);
}

TEST_CASE("a team that was idle gets no credit")
{
    auto queue = queue_of(queue_order_kind::first_come);
    queue.push(job(1, 1000, "a"));
    for (int i = 0; i < 500; ++i)
        take(queue);
    queue.push(job(2, 100, "b"));
    int tasks_of_b = 0;
    for (int i = 0; i < 100; ++i)
        tasks_of_b += take(queue) == 2 ? 1 : 0;
    REQUIRE(tasks_of_b <= 51);
}

TEST_CASE("task and work totals stay correct through take, requeue and remove")
{
    auto queue = queue_of(queue_order_kind::least_work);
    queue.push(job(1, 3));
    queue.push(job(2, 2));
    take(queue);
    queue.requeue_task(job(2, 1));
    REQUIRE(queue.tasks() == 5);
    REQUIRE(queue.seconds_of_work() == Approx(0.5));
    queue.remove(1);
    REQUIRE(queue.tasks() == 2);
    take(queue);
    take(queue);
    REQUIRE(queue.empty());
    queue.requeue_task(job(2, 1));
    REQUIRE(queue.front() == 2U);
}
