#include "glenhollow/durable/job_wire.hpp"

#include "glenhollow/core/wire_bounds.hpp"

namespace glenhollow
{

namespace
{

void fill_step(wire::HandedStep::Builder out, const job_step& step)
{
    out.setCount(step.count);
    out.setCpu(step.needs.cpu);
    out.setMemory(step.needs.memory);
    out.setGpu(step.needs.gpu);
    out.setEstimateMs(step.estimate_ms);
    out.setLabel(step.label);
    out.setPreferredLabel(step.preferred_label);
    auto after = out.initAfter(static_cast<unsigned>(step.after.size()));
    for (unsigned i = 0; i < after.size(); ++i)
        after.set(i, step.after[i]);
}

job_step step_from(wire::HandedStep::Reader in)
{
    job_step step;
    step.count = in.getCount();
    step.needs = {in.getCpu(), in.getMemory(), in.getGpu()};
    step.estimate_ms = in.getEstimateMs();
    step.label = in.getLabel();
    step.preferred_label = in.getPreferredLabel();
    for (const auto before : in.getAfter())
        step.after.push_back(before);
    return step;
}

} // namespace

void fill(wire::JobAnswer::Builder out, const job_reply& reply)
{
    out.setOutcome(static_cast<std::uint8_t>(reply.outcome));
    out.setState(static_cast<std::uint8_t>(reply.state));
    out.setRetryAfterMs(static_cast<std::uint32_t>(
        std::chrono::duration_cast<milliseconds>(reply.retry_after).count()));
}

/// A job state that only a newer version knows is read as an unknown outcome.
job_reply from_wire(wire::JobAnswer::Reader in)
{
    if (in.getState() >= name_table<job_state>::names.size())
        return {};
    return {from_index(in.getOutcome(), job_outcome::unknown),
            from_index(in.getState(), job_state::queued),
            milliseconds{in.getRetryAfterMs()}};
}

void fill(wire::HandedJob::Builder out, const job_definition& job,
          std::int64_t now_ms)
{
    out.setId(job.id);
    out.setQueue(job.queue);
    out.setService(job.service);
    out.setSpec(job.spec);
    auto steps = out.initSteps(static_cast<unsigned>(job.steps.size()));
    for (unsigned i = 0; i < steps.size(); ++i)
        fill_step(steps[i], job.steps[i]);
    out.setPriority(job.priority);
    out.setMaxAttempts(job.max_attempts);
    out.setObjectiveInMs(job.objective_ms - now_ms);
    out.setGiveUpInMs(job.expiry_ms - now_ms);
}

job_definition from_wire(wire::HandedJob::Reader in, std::int64_t now_ms)
{
    job_definition job;
    job.id = in.getId();
    job.queue = in.getQueue();
    job.service = in.getService();
    job.spec = in.getSpec();
    for (auto step : in.getSteps())
        job.steps.push_back(step_from(step));
    job.priority = in.getPriority();
    job.max_attempts = in.getMaxAttempts();
    job.accepted_ms = now_ms;
    job.objective_ms = now_ms + told_length_ms(in.getObjectiveInMs());
    job.expiry_ms = now_ms + told_length_ms(in.getGiveUpInMs());
    job.durability_class = durability::in_memory;
    return job;
}

} // namespace glenhollow
