#include "glenhollow/durable/table_follower.hpp"

#include "glenhollow/telemetry/log.hpp"

#include <algorithm>
#include <iterator>
#include <set>

namespace glenhollow
{

struct table_follower::state : std::enable_shared_from_this<state>
{
    state(row_store& rows, journal_chain::delay runs_later, std::string name,
          const table_follower_settings& limits,
          std::function<void(const stored_row&)> told,
          std::function<void(std::uint64_t)> told_current)
        : store(rows), later(std::move(runs_later)), table(std::move(name)),
          settings(limits), on_row(std::move(told)),
          on_current(std::move(told_current))
    {
    }

    row_store& store;                              ///< Where rows lie.
    journal_chain::delay later;                    ///< Runs delayed work.
    std::string table;                             ///< Kind of row.
    table_follower_settings settings;              ///< Limits.
    std::function<void(const stored_row&)> on_row; ///< Told of rows.
    std::function<void(std::uint64_t)> on_current; ///< Told of versions.
    std::set<std::string> known;                   ///< Keys of rows told.
    std::set<std::string> seen; ///< Keys in this reading of the table.
    bool closed = false;        ///< The follower is gone.

    void read_anew()
    {
        seen.clear();
        read({}, 0);
    }

    void read(const std::string& from, std::uint64_t since)
    {
        store.read({table, {}, from, {}, 0},
                   [self = shared_from_this(), since](const read_result& got)
                   { self->page(got, since); });
    }

    void page(const read_result& got, std::uint64_t since)
    {
        if (closed)
            return;
        if (!got.answered)
            return after(settings.retry, [](state& self) { self.read_anew(); });
        for (const auto& row : got.rows)
        {
            seen.insert(row.key.key);
            tell(row);
        }
        // Changes since the first page are not missed.
        const auto version = since == 0 ? got.version : since;
        if (got.more && !got.rows.empty())
            return read(got.rows.back().key.key + '0', version);
        tell_missing(version);
        tell_current(version);
        follow(version);
    }

    void tell(const stored_row& row)
    {
        if (row.gone)
            known.erase(row.key.key);
        else
            known.insert(row.key.key);
        on_row(row);
    }

    /// Rows that were removed while nobody followed.
    void tell_missing(std::uint64_t version)
    {
        std::vector<std::string> missing;
        std::set_difference(known.begin(), known.end(), seen.begin(),
                            seen.end(), std::back_inserter(missing));
        for (const auto& key : missing)
            tell({{table, {}, key}, {}, version, true});
    }

    void tell_current(std::uint64_t version)
    {
        if (on_current)
            on_current(version);
    }

    void follow(std::uint64_t version)
    {
        store.follow(
            table, version, settings.wait,
            [self = shared_from_this(), version](const feed_result& got)
            { self->followed(got, version); });
    }

    void followed(const feed_result& got, std::uint64_t version)
    {
        if (closed)
            return;
        switch (got.outcome)
        {
        case feed_outcome::answered:
            for (const auto& row : got.rows)
                tell(row);
            version = std::max(version, got.version);
            tell_current(version);
            return after(settings.least_gap,
                         [version](state& self) { self.follow(version); });
        case feed_outcome::history_gone:
            log_change(log_level::info, "history_gone", {{"table", table}});
            return after(settings.least_gap,
                         [](state& self) { self.read_anew(); });
        case feed_outcome::failed:
            // Rows may have changed and been forgotten meanwhile.
            return after(settings.retry, [](state& self) { self.read_anew(); });
        }
    }

    void after(duration wait, std::function<void(state&)> work)
    {
        later(wait,
              [self = shared_from_this(), work = std::move(work)]
              {
                  if (!self->closed)
                      work(*self);
              });
    }
};

table_follower::table_follower(row_store& store, journal_chain::delay later,
                               std::string table,
                               const table_follower_settings& settings,
                               std::function<void(const stored_row&)> on_row,
                               std::function<void(std::uint64_t)> on_current)
    : state_(std::make_shared<state>(store, std::move(later), std::move(table),
                                     settings, std::move(on_row),
                                     std::move(on_current)))
{
}

table_follower::~table_follower()
{
    state_->closed = true;
}

void table_follower::pace(duration gap)
{
    state_->settings.least_gap = gap;
}

void table_follower::begin()
{
    state_->read_anew();
}

} // namespace glenhollow
