// Measures the time per call of the decision functions, without I/O. Prints CSV
// with nanoseconds per decision.
#include "glenhollow/decision/admission.hpp"
#include "glenhollow/decision/occupancy.hpp"
#include "glenhollow/decision/placement.hpp"
#include "glenhollow/decision/queue_order.hpp"
#include "glenhollow/decision/team_quota.hpp"

#include <chrono>
#include <cstdio>
#include <functional>
#include <string>
#include <vector>

using namespace glenhollow;

namespace
{

/// Repeats a decision for at least 100 ms and prints the mean time per call.
void time_decision(const std::string& name, std::size_t size,
                   const std::function<void()>& decide)
{
    using clock = std::chrono::steady_clock;
    constexpr auto min_duration = std::chrono::milliseconds(100);
    constexpr int batch = 64;
    const auto start = clock::now();
    std::uint64_t count = 0;
    while (clock::now() - start < min_duration)
    {
        for (int i = 0; i < batch; ++i)
            decide();
        count += batch;
    }
    const double ns =
        std::chrono::duration<double, std::nano>(clock::now() - start).count();
    std::printf("%s,%zu,%.0f\n", name.c_str(), size,
                ns / static_cast<double>(count));
}

std::vector<runner_view> views_of(std::size_t count, random_engine& random)
{
    std::vector<runner_view> views(count);
    for (auto& view : views)
    {
        view.connected = true;
        view.slots = 8;
        view.outstanding = static_cast<std::int32_t>(random() % 4);
        view.peer_tasks = static_cast<double>(random() % 5);
        view.own_hall = random() % 3 != 0;
    }
    return views;
}

void time_placements()
{
    random_engine random(1);
    for (std::size_t i = 0; i < name_table<placement_kind>::names.size(); ++i)
    {
        const auto kind = static_cast<placement_kind>(i);
        const auto strategy = placement::create(kind, {});
        for (const std::size_t count : {8, 32, 64, 128, 192, 508, 6600})
        {
            const auto views = views_of(count, random);
            placement_request request;
            request.runners = views;
            time_decision("placement_" + std::string(to_name(kind)), count,
                          [&] { strategy->choose(request, random); });
        }
    }
    for (const std::size_t count : {8, 32, 64, 128, 192, 508, 6600})
    {
        auto views = views_of(count, random);
        occupancy_estimate estimate;
        estimate.resize(count);
        instant now = seconds{1};
        time_decision("occupancy_estimate", count,
                      [&]
                      {
                          now += microseconds{10};
                          estimate.apply(views, now);
                      });
    }
}

void time_queue()
{
    for (const std::size_t count : {10, 100, 1000, 10'000})
    {
        job_queue queue({});
        const auto push = [&](std::uint64_t sequence)
        {
            queued_job job;
            job.sequence = sequence;
            job.team = "t" + std::to_string(sequence % 290);
            job.arrived = microseconds{sequence};
            job.tasks_left = 1;
            job.seconds_per_task = 0.1;
            queue.push(job);
        };
        std::uint64_t next = 1;
        while (next <= count)
            push(next++);
        time_decision("queue_push_and_take", count,
                      [&]
                      {
                          push(next++);
                          queue.take_task(*queue.front());
                      });
    }
}

void time_limits()
{
    random_engine random(1);
    admission_request request;
    request.tasks = 20;
    request.deadline = seconds{5};
    request.available_slots = 100;
    request.usable_runners = 100;
    time_decision("admission", 1, [&] { admit(request, {}, random); });
    for (const std::size_t count : {1, 50, 290, 1000})
    {
        team_quota quota({});
        std::vector<std::string> teams;
        for (std::size_t i = 0; i < count; ++i)
        {
            teams.push_back("team-" + std::to_string(i));
            quota.set_quota(teams.back(), 1e9);
        }
        instant now = seconds{1};
        std::size_t next = 0;
        time_decision("team_quota", count,
                      [&]
                      {
                          now += microseconds{1};
                          quota.try_acquire(teams[next++ % count], 1, now);
                      });
    }
}

} // namespace

int main()
{
    std::puts("decision,size,nanoseconds");
    time_placements();
    time_queue();
    time_limits();
    return 0;
}
