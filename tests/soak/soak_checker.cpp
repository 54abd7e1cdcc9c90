#include "soak/soak_checker.hpp"

#include <algorithm>
#include <charconv>
#include <optional>
#include <tuple>

namespace glenhollow::soak
{

namespace
{

constexpr unsigned status_too_many = 429;
constexpr unsigned status_unavailable = 503;
constexpr unsigned status_gone = 410;
/// By the users' rule on acknowledgements: more than a tenth, and three.
constexpr std::uint64_t least_held = 3;
constexpr std::uint64_t held_share = 10;

/// The parts of a task's name.
struct task_parts
{
    std::string job;         ///< Id.
    std::uint32_t step = 0;  ///< From 0.
    std::uint32_t index = 0; ///< From 0.
};

std::optional<task_parts> parts_of(const std::string& task)
{
    task_parts out;
    std::uint32_t time = 0;
    const auto dot = task.find('.');
    if (dot == std::string::npos)
        return std::nullopt;
    out.job = task.substr(0, dot);
    const char* at = task.data() + dot;
    const char* last = task.data() + task.size();
    for (auto* number : {&time, &out.step, &out.index})
    {
        if (at == last || *at != '.')
            return std::nullopt;
        const auto end = std::from_chars(at + 1, last, *number);
        if (end.ec != std::errc{})
            return std::nullopt;
        at = end.ptr;
    }
    if (at != last || time != 0)
        return std::nullopt;
    return out;
}

std::string name_of(const std::string& job, std::size_t step,
                    std::uint32_t index)
{
    return job + ".0." + std::to_string(step) + "." + std::to_string(index);
}

std::string told(const seen_run& run)
{
    const auto ms = [](instant at)
    {
        return at == instant::max()
                   ? std::string("now")
                   : std::to_string(
                         std::chrono::duration_cast<milliseconds>(at).count());
    };
    return "run " + std::to_string(run.run) + " at " + run.backend + " from " +
           ms(run.begin) + " to " + ms(run.end) + " ms (" + run.how +
           ", noted " + ms(run.noted) + ")";
}

bool is_done_by(const std::map<std::string, std::vector<const seen_run*>>& all,
                const std::string& task, instant by)
{
    const auto known = all.find(task);
    return known != all.end() &&
           std::any_of(known->second.begin(), known->second.end(),
                       [by](const seen_run* run)
                       { return run->how == "done" && run->end <= by; });
}

/// An end counts as taken note of unless the lease lapsed before that.
bool is_noted(const seen_run& run)
{
    return run.noted != instant{} && !run.lapsed_before_note;
}

} // namespace

soak_checker::soak_checker(const checker_settings& settings)
    : settings_(settings)
{
}

void soak_checker::submitted(const soak_job& job)
{
    jobs_[job.id].job = job;
}

void soak_checker::answered(const std::string& id, unsigned status,
                            const std::string& state, instant at)
{
    auto& seen = jobs_[id];
    if (status == status_too_many || status == status_unavailable)
    {
        ++seen.refused;
        return;
    }
    ++seen.other;
    if (status < 200 || status > 299)
        return;
    if (seen.accepted == instant{})
        seen.accepted = at;
    if (seen.job.kept)
        return;
    const bool by_cancel = seen.cancelling && state == "cancelled";
    if (state != "succeeded" && state != "failed" && !by_cancel)
        broken("ANSWER", id + " ended in '" + state + "'");
    take_state(seen, state, at);
}

void soak_checker::unanswered(const std::string& id)
{
    ++jobs_[id].other;
}

void soak_checker::shown(const std::string& id, unsigned status,
                         const std::string& state, instant asked, instant at)
{
    auto& seen = jobs_[id];
    if (status == status_gone && seen.accepted != instant{} &&
        !seen.cancelling && asked > seen.accepted + settings_.visible)
        broken("LOST", "410 for the accepted job " + id);
    if (status != 200)
        return;
    if (state == "cancelled" && !seen.cancelling)
        broken("LOST", id + " is shown as cancelled by nobody");
    else if (state != "queued" && state != "running" && state != "succeeded" &&
             state != "failed" && state != "cancelled")
        broken("ANSWER", id + " is shown as '" + state + "'");
    take_state(seen, state, at);
}

void soak_checker::take_state(seen_job& seen, const std::string& state,
                              instant at)
{
    if (state == "succeeded")
        seen.succeeded.push_back(at);
    if (state == "failed")
        seen.failed.push_back(at);
}

void soak_checker::cancelling(const std::string& id)
{
    jobs_[id].cancelling = true;
}

void soak_checker::cancelled(const std::string& id, instant at)
{
    auto& seen = jobs_[id];
    if (seen.cancelled == instant{})
        seen.cancelled = at;
}

void soak_checker::calm_answers(std::uint64_t calls, std::uint64_t held)
{
    if (held >= least_held && held * held_share > calls)
        broken("HELD", std::to_string(held) + " of " + std::to_string(calls) +
                           " calls had no answer though all was well");
}

void soak_checker::broken(const std::string& rule, const std::string& text)
{
    at_once_.push_back({rule, text});
}

std::vector<finding>
soak_checker::judge(const std::vector<seen_run>& runs) const
{
    auto out = at_once_;
    runs_by_task all;
    for (const auto& run : runs)
        all[run.task].push_back(&run);
    for (auto& [task, its] : all)
        std::sort(its.begin(), its.end(),
                  [](const seen_run* a, const seen_run* b) {
                      return std::tie(a->begin, a->run) <
                             std::tie(b->begin, b->run);
                  });
    for (const auto& [task, its] : all)
        check_task(task, its, all, out);
    for (const auto& [id, seen] : jobs_)
        check_job(seen, all, out);
    check_room(runs, out);
    return out;
}

void soak_checker::check_task(const std::string& task, const task_runs& runs,
                              const runs_by_task& all,
                              std::vector<finding>& out) const
{
    const auto parts = parts_of(task);
    const auto known = parts ? jobs_.find(parts->job) : jobs_.end();
    if (known == jobs_.end() || parts->step >= known->second.job.steps.size() ||
        parts->index >= known->second.job.steps[parts->step].count)
    {
        out.push_back({"UNASKED", task + " was sent by nobody"});
        return;
    }
    const auto& job = known->second.job;
    const seen_run* longest = nullptr;
    for (const auto* run : runs)
    {
        if (run->left)
            out.push_back(
                {"DRAIN",
                 task + " at a backend server that leaves: " + told(*run)});
        if (run->spec != job.spec)
            out.push_back({"UNASKED", task + " with another spec"});
        if (longest != nullptr && run->begin < longest->end)
            out.push_back({"TWICE", task + " at once: " + told(*longest) +
                                        ", " + told(*run)});
        if (longest == nullptr || run->end > longest->end)
            longest = run;
        for (const auto before : job.steps[parts->step].after)
        {
            for (std::uint32_t i = 0; i < job.steps[before].count; ++i)
            {
                const auto first = name_of(job.id, before, i);
                if (!is_done_by(all, first, run->begin))
                    out.push_back({"ORDER", task + " began before " + first +
                                                " was done: " + told(*run)});
            }
        }
    }
    if (job.kept)
        check_kept(task, runs, out);
    check_cancelled(known->second, task, runs, out);
}

void soak_checker::check_cancelled(const seen_job& seen,
                                   const std::string& task,
                                   const task_runs& runs,
                                   std::vector<finding>& out) const
{
    if (seen.cancelled == instant{})
        return;
    const auto last = seen.cancelled + settings_.cancel;
    for (const auto* run : runs)
    {
        if (run->late || !run->in_touch)
            continue;
        if (run->begin > last)
            out.push_back({"UNASKED", task + " after its job was cancelled: " +
                                          told(*run)});
        else if (run->begin > seen.cancelled &&
                 run->end > last + settings_.stop)
            out.push_back({"UNASKED", task +
                                          " runs on after its job was "
                                          "cancelled: " +
                                          told(*run)});
    }
}

void soak_checker::check_kept(const std::string& task, const task_runs& runs,
                              std::vector<finding>& out) const
{
    for (const auto* later : runs)
    {
        std::uint32_t failed = 0;
        for (const auto* earlier : runs)
        {
            if (earlier == later || earlier->end > later->begin ||
                !is_noted(*earlier))
                continue;
            if (earlier->how == "failed")
                ++failed;
            if (earlier->how == "done")
                out.push_back(
                    {"TWICE", task + " after it was done: " + told(*earlier) +
                                  ", " + told(*later)});
        }
        if (failed >= settings_.max_attempts)
            out.push_back({"BUDGET", task + " after all of its attempts: " +
                                         told(*later)});
    }
}

void soak_checker::check_job(const seen_job& seen, const runs_by_task& all,
                             std::vector<finding>& out) const
{
    const auto& job = seen.job;
    const bool only_refused = seen.refused > 0 && seen.other == 0;
    bool spent = false;
    for (std::size_t step = 0; step < job.steps.size(); ++step)
    {
        for (std::uint32_t i = 0; i < job.steps[step].count; ++i)
        {
            const auto task = name_of(job.id, step, i);
            const auto known = all.find(task);
            if (known != all.end() && only_refused)
                out.push_back({"REFUSED", task + " of a refused job: " +
                                              told(*known->second.front())});
            const auto fails =
                known == all.end()
                    ? 0
                    : std::count_if(known->second.begin(), known->second.end(),
                                    [](const seen_run* run)
                                    { return run->how == "failed"; });
            spent = spent || fails >= settings_.max_attempts;
            for (const auto at : seen.succeeded)
            {
                if (is_done_by(all, task, at))
                    continue;
                out.push_back({"MIXED", job.id + " is shown as succeeded, " +
                                            task + " is not done"});
                break;
            }
        }
    }
    if (job.kept && !seen.failed.empty() && !spent)
        out.push_back({"LOST", job.id + " is shown as failed without cause"});
}

void soak_checker::check_room(const std::vector<seen_run>& runs,
                              std::vector<finding>& out) const
{
    struct change
    {
        instant at;              ///< When.
        std::int64_t cpu;        ///< More, or less.
        const seen_run* because; ///< Of which run.
    };
    std::map<std::string, std::vector<change>> changes;
    for (const auto& run : runs)
    {
        const auto parts = parts_of(run.task);
        const auto known = parts ? jobs_.find(parts->job) : jobs_.end();
        if (known == jobs_.end() ||
            parts->step >= known->second.job.steps.size())
            continue;
        const std::int64_t cpu = known->second.job.steps[parts->step].cpu;
        changes[run.backend].push_back({run.begin, cpu, &run});
        if (run.end != instant::max())
            changes[run.backend].push_back({run.end, -cpu, &run});
    }
    for (auto& [backend, its] : changes)
    {
        std::stable_sort(
            its.begin(), its.end(),
            [](const change& a, const change& b)
            { return std::tie(a.at, a.cpu) < std::tie(b.at, b.cpu); });
        std::int64_t used = 0;
        for (const auto& one : its)
        {
            used += one.cpu;
            if (one.cpu > 0 && used > settings_.backend_cpu)
                out.push_back({"LIMIT", backend + " over its room (" +
                                            std::to_string(used) +
                                            "): " + one.because->task + " " +
                                            told(*one.because)});
        }
    }
}

} // namespace glenhollow::soak
