#include "glenhollow/durable/table_follower.hpp"

#include "glenhollow/journal/table_reader.hpp"
#include "glenhollow/telemetry/log.hpp"

#include <algorithm>
#include <iterator>
#include <optional>
#include <set>

namespace glenhollow
{

struct table_follower::state : std::enable_shared_from_this<state>
{
    state(row_store& rows, journal_chain::delay delay, std::string name,
          const table_follower_settings& limits,
          std::function<void(const stored_row&)> row_handler,
          std::function<void(std::uint64_t)> current_handler)
        : store(rows), later(std::move(delay)), table(std::move(name)),
          settings(limits), on_row(std::move(row_handler)),
          on_current(std::move(current_handler))
    {
    }

    row_store& store;
    journal_chain::delay later;
    std::string table;
    table_follower_settings settings;
    std::function<void(const stored_row&)> on_row;
    std::function<void(std::uint64_t)> on_current;
    std::set<std::string> known_keys; ///< Keys of rows passed to on_row.
    std::set<std::string> seen_keys;  ///< Keys found by the current reload.
    bool closed = false;              ///< Whether the follower was destroyed.

    void reload()
    {
        seen_keys.clear();
        read_table(
            store, table, {},
            [self = shared_from_this()](const stored_row& row)
            { self->row_read(row); },
            [self = shared_from_this()](std::optional<std::uint64_t> version)
            { self->table_read(version); });
    }

    void row_read(const stored_row& row)
    {
        if (closed)
            return;
        seen_keys.insert(row.key.key);
        notify(row);
    }

    /// Follows from the version of the first page, so that changes made while
    /// later pages were read are not missed.
    void table_read(std::optional<std::uint64_t> version)
    {
        if (closed)
            return;
        if (!version)
            return after(settings.retry, [](state& self) { self.reload(); });
        notify_removed(*version);
        notify_current(*version);
        follow(*version);
    }

    void notify(const stored_row& row)
    {
        if (row.gone)
            known_keys.erase(row.key.key);
        else
            known_keys.insert(row.key.key);
        on_row(row);
    }

    /// Reports rows that were removed while changes were not followed.
    void notify_removed(std::uint64_t version)
    {
        std::vector<std::string> missing;
        std::set_difference(known_keys.begin(), known_keys.end(),
                            seen_keys.begin(), seen_keys.end(),
                            std::back_inserter(missing));
        for (const auto& key : missing)
            notify({{table, {}, key}, {}, version, true});
    }

    void notify_current(std::uint64_t version)
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
                notify(row);
            version = std::max(version, got.version);
            notify_current(version);
            return after(settings.min_gap,
                         [version](state& self) { self.follow(version); });
        case feed_outcome::history_expired:
            log_change(log_level::info, "feed_history_expired",
                       {{"table", table}});
            return after(settings.min_gap, [](state& self) { self.reload(); });
        case feed_outcome::failed:
            // Changes may have left the store's history in the meantime.
            return after(settings.retry, [](state& self) { self.reload(); });
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

void table_follower::set_min_gap(duration gap)
{
    state_->settings.min_gap = gap;
}

void table_follower::begin()
{
    state_->reload();
}

} // namespace glenhollow
