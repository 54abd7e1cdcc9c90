#include "glenhollow/durable/part_loader.hpp"

#include "glenhollow/durable/member_directory.hpp"
#include "glenhollow/journal/journal_chain.hpp"
#include "glenhollow/journal/table_reader.hpp"
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

/// @return Whether the progress names only tasks of the job, each at most once.
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

/// State of one load in progress.
struct load : std::enable_shared_from_this<load>
{
    load(row_store& rows, part_number number,
         std::function<void(std::optional<loaded_part>)> then)
        : store(rows), part(number), done(std::move(then))
    {
    }

    row_store& store;
    part_number part;
    std::function<void(std::optional<loaded_part>)> done;
    loaded_part loaded; ///< Rows read so far.
    std::size_t pending_tables = tables.size();
    bool failed = false; ///< Whether a read has failed.

    void read(std::string_view table)
    {
        // Member rows belong to no part.
        const auto of =
            table == members_table ? std::string() : part_name(part);
        read_table(
            store, std::string(table), of,
            [self = shared_from_this(), table](const stored_row& row)
            { self->add_row(table, row); },
            [self = shared_from_this()](std::optional<std::uint64_t> version)
            { self->table_read(version.has_value()); });
    }

    void table_read(bool complete)
    {
        failed = failed || !complete;
        if (--pending_tables > 0)
            return;
        if (failed)
            return done(std::nullopt);
        drop_unreadable();
        done(std::move(loaded));
    }

    void add_row(std::string_view table, const stored_row& row)
    {
        if (table == members_table)
            return add_member(row);
        const auto id = job_id_from(row.key.key);
        if (!id)
            return; // No caller can name this job.
        if (table == jobs_table)
            add_decoded(table, *id, decode_definition(row.value),
                        [this, id](job_definition job)
                        {
                            if (job.id != *id)
                                return mark_unreadable(
                                    jobs_table, *id,
                                    "the row names another job");
                            loaded.jobs.push_back(std::move(job));
                        });
        else if (table == progress_table)
            add_decoded(table, *id, decode_progress(row.value),
                        [this, id](job_progress progress)
                        { loaded.progress.emplace(*id, std::move(progress)); });
        else
            add_decoded(table, *id, decode_ended_job(row.value),
                        [this, id](ended_job end)
                        { loaded.ended.emplace_back(*id, end); });
    }

    /// Adds an agent. A member with an invalid row may be an agent.
    void add_member(const stored_row& row)
    {
        const auto member = decode_member(row);
        if (!member || member.value().role == member_role::agent)
            loaded.agents.insert(row.key.key);
    }

    template <class Value, class Add>
    void add_decoded(std::string_view table, job_id id, result<Value> value,
                     Add add)
    {
        if (value)
            return add(std::move(value.value()));
        mark_unreadable(table, id, value.error().text);
    }

    void mark_unreadable(std::string_view table, job_id id,
                         std::string_view cause)
    {
        loaded.unreadable.insert(id);
        log_change(log_level::error, "journal_row_invalid",
                   {{"part", part},
                    {"table", table},
                    {"job", to_text(id)},
                    {"cause", cause}});
    }

    void drop_unreadable()
    {
        for (const auto& job : loaded.jobs)
        {
            const auto progress = loaded.progress.find(job.id);
            if (progress != loaded.progress.end() &&
                !fits(progress->second, job))
                mark_unreadable(
                    progress_table, job.id,
                    "the progress names tasks that the job does not have");
        }
        const auto is_unreadable = [this](job_id id)
        { return loaded.unreadable.contains(id); };
        std::erase_if(loaded.jobs,
                      [&](const auto& job) { return is_unreadable(job.id); });
        std::erase_if(loaded.progress, [&](const auto& one)
                      { return is_unreadable(one.first); });
        std::erase_if(loaded.ended, [&](const auto& one)
                      { return is_unreadable(one.first); });
    }
};

} // namespace

void load_part(row_store& store, part_number part,
               std::function<void(std::optional<loaded_part>)> done)
{
    auto work = std::make_shared<load>(store, part, std::move(done));
    for (const auto table : tables)
        work->read(table);
}

} // namespace glenhollow
