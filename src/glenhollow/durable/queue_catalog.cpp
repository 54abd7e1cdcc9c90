#include "glenhollow/durable/queue_catalog.hpp"

#include <algorithm>

namespace glenhollow
{

namespace
{

/// Of a caller that does not say how long it waits.
constexpr std::int64_t longest_patience_ms = 30'000;

result<void> check_step(const std::vector<job_step>& steps, std::size_t at)
{
    const auto field = "steps[" + std::to_string(at) + "].";
    const auto& step = steps[at];
    if (step.count == 0 || step.count > max_job_tasks)
        return failure{field + "count is not in 1.." +
                       std::to_string(max_job_tasks)};
    for (const auto before : step.after)
    {
        // Earlier steps only, so that no circle can be.
        if (before >= at)
            return failure{field + "after names step " +
                           std::to_string(before) + ", which is not earlier"};
    }
    return outcome::success();
}

} // namespace

const queue_rule* queue_catalog::find(std::string_view host,
                                      std::string_view path) const
{
    const auto name = host.substr(0, host.find(':'));
    const queue_rule* best = nullptr;
    for (const auto& rule : queues)
    {
        if (rule.host == name && path.starts_with(rule.prefix) &&
            (best == nullptr || best->prefix.size() < rule.prefix.size()))
            best = &rule;
    }
    return best;
}

result<job_definition> admit_form(job_definition job, const queue_rule& rule,
                                  std::int64_t now_ms)
{
    if (job.spec.size() > max_spec_bytes)
        return failure{"spec has more than " + std::to_string(max_spec_bytes) +
                       " bytes"};
    if (job.steps.empty())
        return failure{"steps is empty"};
    for (std::size_t i = 0; i < job.steps.size(); ++i)
    {
        BOOST_OUTCOME_TRYV(check_step(job.steps, i));
    }
    if (job.task_count() > max_job_tasks)
        return failure{"the steps have more than " +
                       std::to_string(max_job_tasks) + " tasks together"};
    job.queue = rule.name;
    job.service = rule.service;
    job.priority = rule.priority;
    job.max_attempts = rule.max_attempts;
    job.accepted_ms = now_ms;
    const double allowed =
        rule.stretch * static_cast<double>(job.longest_chain_ms());
    const auto objective = rule.target_ms + static_cast<std::int64_t>(allowed);
    job.objective_ms = now_ms + objective;
    if (job.lasts == durability::in_memory)
    {
        // Past three times its objective an end is worth nothing.
        const auto patience =
            job.give_up_ms == 0 ? longest_patience_ms : job.give_up_ms;
        job.give_up_ms = now_ms + std::min(patience, 3 * objective);
    }
    else
    {
        job.give_up_ms = 0;
    }
    return job;
}

} // namespace glenhollow
