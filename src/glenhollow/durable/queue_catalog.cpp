#include "glenhollow/durable/queue_catalog.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace glenhollow
{

namespace
{

/// Waiting time of a caller that gives none.
constexpr std::int64_t default_give_up_ms = 30'000;

/// Thirty days, so that three times the objective does not overflow in
/// nanoseconds.
constexpr double max_objective_ms = 30.0 * 24 * 3600 * 1000;

result<void> check_step(const std::vector<job_step>& steps, std::size_t at)
{
    const auto field = "steps[" + std::to_string(at) + "].";
    const auto& step = steps[at];
    if (step.count == 0 || step.count > max_job_tasks)
        return failure{field + "count is not in 1.." +
                       std::to_string(max_job_tasks)};
    for (const auto before : step.after)
    {
        // Steps may name only earlier steps, which rules out cycles.
        if (before >= at)
            return failure{field + "after names step " +
                           std::to_string(before) + ", which is not earlier"};
    }
    return outcome::success();
}

} // namespace

void queue_catalog::add(queue_rule rule)
{
    by_host_[rule.host].emplace(rule.prefix, queues_.size());
    queues_.push_back(std::move(rule));
}

/// Finds the longest matching prefix. Of the prefixes that sort before the
/// path, the last one either matches or bounds the length of any match.
const queue_rule* queue_catalog::find(std::string_view host,
                                      std::string_view path) const
{
    const auto known = by_host_.find(host.substr(0, host.find(':')));
    if (known == by_host_.end())
        return nullptr;
    const auto& prefixes = known->second;
    for (;;)
    {
        auto after = prefixes.upper_bound(path);
        if (after == prefixes.begin())
            return nullptr;
        const auto& [prefix, index] = *std::prev(after);
        const auto matching = std::mismatch(prefix.begin(), prefix.end(),
                                            path.begin(), path.end())
                                  .first -
                              prefix.begin();
        const auto length = static_cast<std::size_t>(matching);
        if (length == prefix.size())
            return &queues_[index];
        path = path.substr(0, length);
    }
}

result<void> check_job_definition(const job_definition& job)
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
    return outcome::success();
}

result<job_definition> admit_job_definition(job_definition job,
                                            const queue_rule& rule,
                                            std::int64_t now_ms)
{
    BOOST_OUTCOME_TRYV(check_job_definition(job));
    job.queue = rule.name;
    job.service = rule.service;
    job.priority = rule.priority;
    job.max_attempts = rule.max_attempts;
    job.accepted_ms = now_ms;
    const double allowed =
        rule.stretch * static_cast<double>(job.critical_path_ms());
    const auto objective = static_cast<std::int64_t>(
        std::min(rule.target_ms + allowed, max_objective_ms));
    job.objective_ms = now_ms + objective;
    if (job.durability_class == durability::in_memory)
    {
        // An end after three times the objective is of no use.
        const auto patience =
            job.expiry_ms == 0 ? default_give_up_ms : job.expiry_ms;
        job.expiry_ms = now_ms + std::min(patience, 3 * objective);
    }
    else
    {
        job.expiry_ms = 0;
    }
    return job;
}

} // namespace glenhollow
