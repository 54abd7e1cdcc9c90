#include "glenhollow/durable/part_loader.hpp"

#include "glenhollow/journal/journal_chain.hpp"
#include "glenhollow/telemetry/log.hpp"

#include <array>
#include <memory>

namespace glenhollow
{

namespace
{

constexpr std::array tables{jobs_table, progress_table, ended_table};

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
        row_range range{std::string(table), part_name(part), from, {}, 0};
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
        done(std::move(found));
    }

    void take(std::string_view table, const stored_row& row)
    {
        const auto id = job_id_from(row.key.key);
        if (!id)
            return;
        if (table == jobs_table)
            keep(decode_definition(row.value), [this](job_definition job)
                 { found.jobs.push_back(std::move(job)); });
        else if (table == progress_table)
            keep(decode_progress(row.value), [this, id](job_progress progress)
                 { found.progress.emplace(*id, std::move(progress)); });
        else
            keep(decode_epitaph(row.value), [this, id](job_epitaph end)
                 { found.ended.emplace_back(*id, end); });
    }

    template <class Value, class Keep>
    void keep(result<Value> value, Keep how)
    {
        if (value)
            return how(std::move(value.value()));
        log_change(log_level::error, "journal_row_unreadable",
                   {{"part", part}, {"cause", value.error().text}});
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
