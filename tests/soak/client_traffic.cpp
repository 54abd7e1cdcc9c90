#include "soak/client_traffic.hpp"

#include <array>
#include <cstdio>

namespace glenhollow::soak
{

namespace
{

/// One kind of request.
struct request_kind
{
    double share;        ///< Of the jobs.
    std::uint32_t least; ///< Tasks.
    std::uint32_t most;  ///< Tasks.
    unsigned least_work; ///< Of a task, ms.
    unsigned most_work;  ///< Of a task, ms.
    std::uint32_t cpu;   ///< Of a task, thousandths of a core.
};

constexpr std::array kinds{request_kind{0.60, 8, 8, 40, 80, 500},
                           request_kind{0.15, 4, 4, 700, 1100, 1000},
                           request_kind{0.25, 1, 2, 150, 250, 750}};
constexpr int stretch = 2;
constexpr duration target = seconds{1};

const request_kind& kind_at(double place)
{
    for (const auto& kind : kinds)
    {
        if (place < kind.share)
            return kind;
        place -= kind.share;
    }
    return kinds.back();
}

} // namespace

std::string drawn_id(random_engine& engine)
{
    std::array<char, 17> id{};
    std::snprintf(id.data(), id.size(), "%016llx",
                  static_cast<unsigned long long>(engine()));
    return id.data();
}

soak_job mixed_job(random_engine& engine, double kept)
{
    soak_job job;
    job.id = drawn_id(engine);
    job.kept = uniform(engine) < kept;
    const auto& kind = kind_at(uniform(engine));
    job.work_ms =
        kind.least_work +
        static_cast<unsigned>(engine() % (kind.most_work - kind.least_work));
    job.spec = "work_ms=" + std::to_string(job.work_ms) + ";" + job.id;
    soak_step step;
    step.count = kind.least + static_cast<std::uint32_t>(
                                  engine() % (kind.most - kind.least + 1));
    step.cpu = kind.cpu;
    job.steps.push_back(std::move(step));
    return job;
}

duration timely_bound(const soak_job& job)
{
    const auto chain =
        milliseconds{job.work_ms} * static_cast<std::int64_t>(job.steps.size());
    return stretch * chain + target;
}

} // namespace glenhollow::soak
