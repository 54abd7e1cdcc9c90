#include "glenhollow/durable/part_loader.hpp"

#include "glenhollow/durable/member_directory.hpp"
#include "glenhollow/journal/journal_chain.hpp"
#include "glenhollow/telemetry/log.hpp"

#include <algorithm>
#include <array>
#include <memory>

namespace glenhollow
{

namespace
{

constexpr std::array tables{jobs_table, progress_table, ended_table,
                            members_table};

/// @return Whether the progress is of tasks that the job has, each once.
bool fits(const job_progress& progress, const job_definition& job)
{
    const auto tasks = job.task_count();
    std::set<std::uint32_t> done;
    for (const auto task : progress.done)
    {
        if (task >= tasks || !done.insert(task).second)
            return false;
    }
    return std::all_of(progress.failed.begin(), progress.failed.end(),
                       [tasks](const auto& one) { return one.task < tasks; });
}

/// One load under way.
struct load : std::enable_shared_from_this<load>
{
    load(row_store& rows, part_number number,
         std::function<void(std::optional<loaded_part>)> then)
        : store(rows), part(number), done(std::move(then))
    {
    }

    row_store& store;                                     ///< Where rows lie.
    part_number part;                                     ///< Which part.
    std::function<void(std::optional<loaded_part>)> done; ///< Told the end.
    loaded_part found;                                    ///< So far.
    std::size_t open = tables.size();                     ///< Tables to read.
    bool failed = false;                                  ///< A read failed.

    void read(std::string_view table, const std::string& from)
    {
        // Members are the same for all parts.
        const auto of =
            table == members_table ? std::string() : part_name(part);
        row_range range{std::string(table), of, from, {}, 0};
        store.read(range, [self = shared_from_this(), table](read_result got)
                   { self->page(table, got); });
    }

    void page(std::string_view table, const read_result& got)
    {
        failed = failed || !got.answered;
        for (const auto& row : got.rows)
            take(table, row);
        if (!failed && got.more && !got.rows.empty())
        {
            // The least key past the last one.
            return read(table, got.rows.back().key.key + '0');
        }
        if (--open > 0)
            return;
        if (failed)
            return done(std::nullopt);
        set_unreadable_apart();
        done(std::move(found));
    }

    void take(std::string_view table, const stored_row& row)
    {
        if (table == members_table)
            return take_member(row);
        const auto id = job_id_from(row.key.key);
        if (!id)
            return; // Nobody can ask for it.
        if (table == jobs_table)
            keep(table, *id, decode_definition(row.value),
                 [this, id](job_definition job)
                 {
                     if (job.id != *id)
                         return note(jobs_table, *id, "it names another job");
                     found.jobs.push_back(std::move(job));
                 });
        else if (table == progress_table)
            keep(table, *id, decode_progress(row.value),
                 [this, id](job_progress progress)
                 { found.progress.emplace(*id, std::move(progress)); });
        else
            keep(table, *id, decode_ended_job(row.value),
                 [this, id](ended_job end)
                 { found.ended.emplace_back(*id, end); });
    }

    /// A member whose row can't be read may be an agent.
    void take_member(const stored_row& row)
    {
        const auto member = decode_member(row);
        if (!member || member.value().role == member_role::agent)
            found.agents.insert(row.key.key);
    }

    template <class Value, class Keep>
    void keep(std::string_view table, job_id id, result<Value> value, Keep how)
    {
        if (value)
            return how(std::move(value.value()));
        note(table, id, value.error().text);
    }

    void note(std::string_view table, job_id id, std::string_view cause)
    {
        found.unreadable.insert(id);
        log_change(log_level::error, "journal_row_unreadable",
                   {{"part", part},
                    {"table", table},
                    {"job", to_text(id)},
                    {"cause", cause}});
    }

    void set_unreadable_apart()
    {
        for (const auto& job : found.jobs)
        {
            const auto progress = found.progress.find(job.id);
            if (progress != found.progress.end() &&
                !fits(progress->second, job))
                note(progress_table, job.id,
                     "it counts tasks that are not its");
        }
        const auto apart = [this](job_id id)
        { return found.unreadable.contains(id); };
        std::erase_if(found.jobs,
                      [&](const auto& job) { return apart(job.id); });
        std::erase_if(found.progress,
                      [&](const auto& one) { return apart(one.first); });
        std::erase_if(found.ended,
                      [&](const auto& one) { return apart(one.first); });
    }
};

} // namespace

void load_part(row_store& store, part_number part,
               std::function<void(std::optional<loaded_part>)> done)
{
    auto work = std::make_shared<load>(store, part, std::move(done));
    for (const auto table : tables)
        work->read(table, {});
}

} // namespace glenhollow
