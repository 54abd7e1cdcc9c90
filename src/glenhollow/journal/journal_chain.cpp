#include "glenhollow/journal/journal_chain.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_to.hpp>

#include <algorithm>
#include <utility>

namespace glenhollow
{

namespace json = boost::json;

namespace
{

constexpr std::string_view journal_table = "journal";
constexpr std::string_view head_row = "head";

std::size_t row_count(const journal_entry& entry)
{
    return entry.puts.size() + entry.removes.size();
}

std::size_t value_bytes(const journal_entry& entry)
{
    std::size_t total = 0;
    for (const auto& put : entry.puts)
        total += put.value.size();
    return total;
}

} // namespace

std::string encode_head(const chain_head& head)
{
    return json::serialize(
        json::array{head.owner, head.incarnation, head.epoch, head.sequence});
}

result<chain_head> decode_head(const stored_row& row)
{
    chain_head head;
    head.version = row.version;
    if (row.version == 0)
        return head;
    try
    {
        const auto value = json::parse(row.value);
        const auto& fields = value.as_array();
        head.owner = json::value_to<std::string>(fields.at(0));
        head.incarnation = json::value_to<std::uint64_t>(fields.at(1));
        head.epoch = json::value_to<std::uint32_t>(fields.at(2));
        head.sequence = json::value_to<std::uint64_t>(fields.at(3));
    }
    catch (const std::exception& error)
    {
        return failure{std::string("malformed head row of ") + row.key.part +
                       ": " + error.what()};
    }
    return head;
}

std::string part_name(part_number part)
{
    return "part-" + std::to_string(part);
}

row_key head_key(part_number part)
{
    return {std::string(journal_table), part_name(part), std::string(head_row)};
}

struct journal_chain::state : std::enable_shared_from_this<state>
{
    state(row_store& rows, delay scheduler, part_number number,
          chain_head initial_head, const journal_chain_settings& limits,
          std::function<void()> lost)
        : store(rows), schedule(std::move(scheduler)), part(number),
          last_head(std::move(initial_head)), settings(limits),
          on_lost(std::move(lost)), backoff(limits.first_backoff)
    {
    }

    row_store& store; ///< Store of the journal's rows.
    delay schedule;   ///< Runs a function after a delay.
    part_number part;
    chain_head last_head; ///< Head after the last known commit.
    journal_chain_settings settings;
    std::function<void()> on_lost;     ///< Called when ownership is lost.
    std::deque<journal_entry> waiting; ///< Queued entries.
    std::vector<journal_entry> batch;  ///< Entries of the current transaction.
    bool in_flight = false;            ///< Sent or awaiting a retry.
    bool uncertain = false;            ///< An attempt had no response.
    bool timer_set = false;            ///< The batch timer is running.
    bool lost = false;                 ///< The part is no longer owned.
    bool is_failing = false;           ///< The last attempt failed.
    duration backoff;                  ///< Delay before the next retry.
    journal_chain_stats stats;

    void append(journal_entry entry)
    {
        if (lost)
        {
            if (entry.done)
                entry.done(journal_outcome::not_written);
            return;
        }
        const bool urgent = entry.urgency == journal_urgency::immediate;
        waiting.push_back(std::move(entry));
        if (in_flight)
            return;
        if (urgent)
            return send_next();
        if (timer_set)
            return;
        timer_set = true;
        schedule(settings.batch_delay,
                 [self = shared_from_this()]
                 {
                     self->timer_set = false;
                     if (!self->in_flight && !self->lost)
                         self->send_next();
                 });
    }

    void send_next()
    {
        if (waiting.empty())
            return;
        std::size_t rows = 2; // Head row: condition and write.
        std::size_t bytes = 0;
        while (!waiting.empty())
        {
            rows += row_count(waiting.front());
            bytes += value_bytes(waiting.front());
            const bool fits =
                rows <= max_transaction_rows && bytes <= max_transaction_bytes;
            if (!batch.empty() && !fits)
                break;
            batch.push_back(std::move(waiting.front()));
            waiting.pop_front();
        }
        uncertain = false;
        transmit();
    }

    void transmit()
    {
        in_flight = true;
        ++stats.transactions;
        auto next = last_head;
        ++next.sequence;
        row_transaction change;
        change.expected.push_back({head_key(part), last_head.version});
        change.puts.push_back({head_key(part), encode_head(next)});
        for (auto& [key, value] : merged_rows())
        {
            if (value)
                change.puts.push_back({key, std::move(*value)});
            else
                change.removes.push_back(key);
        }
        store.commit(change, [self = shared_from_this()](commit_result response)
                     { self->on_commit_result(response); });
    }

    /// Merges the batch so that each row occurs once, with its last value.
    /// @return Keys and values; no value means that the row is removed.
    std::vector<std::pair<row_key, std::optional<std::string>>>
    merged_rows() const
    {
        std::vector<std::pair<row_key, std::optional<std::string>>> rows;
        const auto set =
            [&rows](const row_key& key, std::optional<std::string> value)
        {
            const auto known =
                std::find_if(rows.begin(), rows.end(),
                             [&](const auto& row) { return row.first == key; });
            if (known != rows.end())
                known->second = std::move(value);
            else
                rows.emplace_back(key, std::move(value));
        };
        for (const auto& entry : batch)
        {
            for (const auto& put : entry.puts)
                set(put.key, put.value);
            for (const auto& key : entry.removes)
                set(key, std::nullopt);
        }
        return rows;
    }

    void on_commit_result(const commit_result& response)
    {
        if (lost)
            return;
        is_failing = response.outcome == store_outcome::refused ||
                     response.outcome == store_outcome::unknown;
        switch (response.outcome)
        {
        case store_outcome::done:
            return on_committed(response.version);
        case store_outcome::conflict:
            return on_conflict(response);
        case store_outcome::refused:
            ++stats.refused;
            if (!uncertain)
                drop_droppable_entries();
            return schedule_retry();
        case store_outcome::unknown:
            ++stats.unknown;
            uncertain = true;
            return schedule_retry();
        }
    }

    void on_committed(std::uint64_t version)
    {
        last_head.version = version;
        ++last_head.sequence;
        backoff = settings.first_backoff;
        in_flight = false;
        auto completed = std::exchange(batch, {});
        stats.entries += completed.size();
        for (auto& entry : completed)
        {
            if (entry.done)
                entry.done(journal_outcome::durable);
        }
        if (!in_flight && !lost)
            send_next();
    }

    /// A head row with this owner's epoch and the sequence that was sent shows
    /// that an earlier attempt was committed; otherwise the part is lost.
    void on_conflict(const commit_result& response)
    {
        for (const auto& row : response.current)
        {
            if (!(row.key == head_key(part)))
                continue;
            const auto found = decode_head(row);
            if (found && found.value().incarnation == last_head.incarnation &&
                found.value().epoch == last_head.epoch &&
                found.value().sequence == last_head.sequence + 1)
            {
                ++stats.confirmed_by_head;
                return on_committed(row.version);
            }
        }
        lose_part();
    }

    void lose_part()
    {
        fail_pending();
        if (on_lost)
            on_lost();
    }

    void fail_pending()
    {
        lost = true;
        in_flight = false;
        const auto batch_outcome =
            uncertain ? journal_outcome::unknown : journal_outcome::not_written;
        auto completed = std::exchange(batch, {});
        auto unsent = std::exchange(waiting, {});
        for (auto& entry : completed)
        {
            if (entry.done)
                entry.done(batch_outcome);
        }
        for (auto& entry : unsent)
        {
            if (entry.done)
                entry.done(journal_outcome::not_written);
        }
    }

    void drop_droppable_entries()
    {
        std::vector<journal_entry> dropped;
        const auto extract_droppable = [&dropped](auto& entries)
        {
            for (auto& entry : entries)
            {
                if (entry.droppable)
                    dropped.push_back(std::move(entry));
            }
            std::erase_if(entries, [](const journal_entry& entry)
                          { return entry.droppable; });
        };
        extract_droppable(batch);
        extract_droppable(waiting);
        for (auto& entry : dropped)
        {
            if (entry.done)
                entry.done(journal_outcome::not_written);
        }
    }

    void schedule_retry()
    {
        const auto wait = backoff;
        backoff = std::min(backoff * 2, settings.longest_backoff);
        schedule(wait,
                 [self = shared_from_this()]
                 {
                     if (self->lost)
                         return;
                     if (!self->batch.empty())
                         return self->transmit();
                     self->in_flight = false;
                     self->send_next();
                 });
    }
};

journal_chain::journal_chain(row_store& store, delay schedule, part_number part,
                             chain_head head,
                             const journal_chain_settings& settings,
                             std::function<void()> on_lost)
    : state_(std::make_shared<state>(store, std::move(schedule), part,
                                     std::move(head), settings,
                                     std::move(on_lost)))
{
}

journal_chain::~journal_chain()
{
    state_->lost = true;
    state_->on_lost = nullptr;
}

void journal_chain::append(journal_entry entry)
{
    state_->append(std::move(entry));
}

void journal_chain::abandon()
{
    if (state_->lost)
        return;
    // The transaction in flight may still be committed.
    state_->uncertain = state_->uncertain || state_->in_flight;
    state_->fail_pending();
}

bool journal_chain::idle() const
{
    return !state_->in_flight && state_->waiting.empty();
}

bool journal_chain::is_failing() const
{
    return state_->is_failing;
}

const chain_head& journal_chain::head() const
{
    return state_->last_head;
}

const journal_chain_stats& journal_chain::stats() const
{
    return state_->stats;
}

} // namespace glenhollow
