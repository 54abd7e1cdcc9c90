#include "glenhollow/entry/adopted_answers.hpp"

#include <algorithm>

namespace glenhollow
{

namespace
{

api_problem body_conflict()
{
    return {409, reason::body_conflict,
            "the submission was sent before with another body"};
}

} // namespace

std::string adopted_answers::id_text(std::uint64_t sequence) const
{
    return submission_id{hall_, entry_, incarnation_, sequence}.to_string();
}

void adopted_answers::add_kept_answers(
    const std::vector<coordinator::kept_answer>& answers)
{
    for (const auto& one : answers)
        kept_.insert_or_assign(one.sequence, one);
}

void adopted_answers::add(const std::vector<fenced_record>& records)
{
    for (const auto& record : records)
    {
        auto& job = jobs_[record.key.sequence];
        job.body_hash = record.body_hash;
        job.tasks = record.job_tasks;
        if (record.end.what == verdict::ran)
            job.results.insert_or_assign(record.key.task, record.body);
    }
}

job_answer adopted_answers::answer(std::uint64_t sequence,
                                   std::optional<std::uint64_t> body_hash) const
{
    const auto kept = kept_.find(sequence);
    if (kept != kept_.end())
    {
        if (body_hash && *body_hash != kept->second.body_hash)
            return body_conflict().to_answer();
        return kept->second.answer;
    }
    const auto found = jobs_.find(sequence);
    if (found == jobs_.end())
        return failed_answer(id_text(sequence), verdict::may_have_run,
                             reason::entry_lost);
    const auto& job = found->second;
    if (body_hash && *body_hash != job.body_hash)
        return body_conflict().to_answer();
    if (!job.is_complete())
        return failed_answer(id_text(sequence), verdict::may_have_run,
                             reason::entry_lost);
    std::vector<std::string> results;
    for (const auto& [task, body] : job.results)
        results.push_back(body);
    return complete_answer(id_text(sequence), results);
}

std::size_t adopted_answers::complete_jobs() const
{
    return static_cast<std::size_t>(std::count_if(
        jobs_.begin(), jobs_.end(),
        [](const auto& one) { return one.second.is_complete(); }));
}

} // namespace glenhollow
