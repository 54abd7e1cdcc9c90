#include "glenhollow/load/load_plan.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <queue>

namespace glenhollow
{

namespace
{

constexpr double straggler_factor = 10;
constexpr std::size_t most_tasks = 1000;

duration from_seconds(double length)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(length));
}

} // namespace

std::vector<planned_job> make_plan(const load_plan_settings& settings,
                                   const distribution& tasks,
                                   const distribution& work_ms)
{
    random_engine random(settings.seed);
    std::vector<planned_job> plan;
    double at = 0;
    while (plan.size() < settings.jobs)
    {
        // Bursts are spread so that the mean rate stays what was asked for.
        at += -std::log(1 - uniform(random)) * settings.burst / settings.rate;
        std::size_t together = 1;
        while (uniform(random) < 1 - 1 / settings.burst)
            ++together;
        for (std::size_t i = 0; i < together && plan.size() < settings.jobs;
             ++i)
        {
            planned_job job;
            job.at = from_seconds(at);
            const auto count = std::clamp<std::size_t>(
                static_cast<std::size_t>(std::lround(tasks.draw(random))), 1,
                most_tasks);
            for (std::size_t t = 0; t < count; ++t)
            {
                double length = work_ms.draw(random);
                if (uniform(random) < settings.straggle)
                    length *= straggler_factor;
                job.work_ms.push_back(length);
            }
            job.resubmit = uniform(random) < settings.resubmit;
            const double longest =
                *std::max_element(job.work_ms.begin(), job.work_ms.end());
            job.resubmit_after =
                from_seconds(uniform(random) * (longest + 20) / 1000);
            job.entry = random();
            plan.push_back(std::move(job));
        }
    }
    return plan;
}

double ideal_ms(std::vector<double> work_ms, std::size_t slots)
{
    std::sort(work_ms.begin(), work_ms.end(), std::greater<>());
    std::priority_queue<double, std::vector<double>, std::greater<>> free;
    for (std::size_t i = 0; i < slots; ++i)
        free.push(0);
    double last = 0;
    for (const double length : work_ms)
    {
        const double end = free.top() + length;
        free.pop();
        free.push(end);
        last = std::max(last, end);
    }
    return last;
}

} // namespace glenhollow
