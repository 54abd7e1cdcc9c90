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

std::size_t rows_of(const journal_entry& entry)
{
    return entry.puts.size() + entry.removes.size();
}

std::size_t bytes_of(const journal_entry& entry)
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
    catch (const std::exception& wrong)
    {
        return failure{std::string("the head row of ") + row.key.part +
                       " has a wrong form: " + wrong.what()};
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
    state(row_store& rows, delay runs_later, part_number number,
          chain_head claim, const journal_chain_settings& limits,
          std::function<void()> lost)
        : store(rows), later(std::move(runs_later)), part(number),
          end(std::move(claim)), settings(limits), on_lost(std::move(lost)),
          backoff(limits.first_backoff)
    {
    }

    row_store& store;                  ///< Where rows lie.
    delay later;                       ///< Runs delayed work.
    part_number part;                  ///< Which part.
    chain_head end;                    ///< As last known.
    journal_chain_settings settings;   ///< Limits.
    std::function<void()> on_lost;     ///< Told of the part's loss.
    std::deque<journal_entry> waiting; ///< Not yet sent.
    std::vector<journal_entry> batch;  ///< Of the transaction that is out.
    bool out = false;                  ///< A transaction is out or to be tried.
    bool uncertain = false;            ///< A try of it had no answer.
    bool timer_set = false;            ///< A gather timer runs.
    bool lost = false;                 ///< The part is not ours any more.
    bool troubled = false;             ///< The last try failed.
    duration backoff;                  ///< Before the next try.
    journal_chain_stats stats;         ///< Counters.

    void append(journal_entry entry)
    {
        if (lost)
        {
            if (entry.done)
                entry.done(journal_verdict::not_written);
            return;
        }
        const bool urgent = entry.urgency == journal_urgency::at_once;
        waiting.push_back(std::move(entry));
        if (out)
            return;
        if (urgent)
            return send_next();
        if (timer_set)
            return;
        timer_set = true;
        later(settings.gather,
              [self = shared_from_this()]
              {
                  self->timer_set = false;
                  if (!self->out && !self->lost)
                      self->send_next();
              });
    }

    void send_next()
    {
        if (waiting.empty())
            return;
        std::size_t rows = 2; // The head, as a condition and as a write.
        std::size_t bytes = 0;
        while (!waiting.empty())
        {
            rows += rows_of(waiting.front());
            bytes += bytes_of(waiting.front());
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
        out = true;
        ++stats.transactions;
        auto next = end;
        ++next.sequence;
        row_transaction change;
        change.expected.push_back({head_key(part), end.version});
        change.puts.push_back({head_key(part), encode_head(next)});
        for (auto& [key, value] : merged_rows())
        {
            if (value)
                change.puts.push_back({key, std::move(*value)});
            else
                change.removes.push_back(key);
        }
        store.commit(change, [self = shared_from_this()](commit_result got)
                     { self->answered(got); });
    }

    /// The batch's last word on each row; nothing: the row is removed.
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

    void answered(const commit_result& got)
    {
        if (lost)
            return;
        troubled = got.outcome == store_outcome::refused ||
                   got.outcome == store_outcome::unknown;
        switch (got.outcome)
        {
        case store_outcome::done:
            return written(got.version);
        case store_outcome::conflict:
            return conflicted(got);
        case store_outcome::refused:
            ++stats.refused;
            if (!uncertain)
                drop_what_may_be();
            return try_later();
        case store_outcome::unknown:
            ++stats.unknown;
            uncertain = true;
            return try_later();
        }
    }

    void written(std::uint64_t version)
    {
        end.version = version;
        ++end.sequence;
        backoff = settings.first_backoff;
        out = false;
        auto ended = std::exchange(batch, {});
        stats.entries += ended.size();
        for (auto& entry : ended)
        {
            if (entry.done)
                entry.done(journal_verdict::durable);
        }
        if (!out && !lost)
            send_next();
    }

    /// Ours and with the very sequence that was sent: an earlier try was done.
    void conflicted(const commit_result& got)
    {
        for (const auto& row : got.current)
        {
            if (!(row.key == head_key(part)))
                continue;
            const auto found = decode_head(row);
            if (found && found.value().incarnation == end.incarnation &&
                found.value().epoch == end.epoch &&
                found.value().sequence == end.sequence + 1)
            {
                ++stats.settled;
                return written(row.version);
            }
        }
        lose();
    }

    void lose()
    {
        give_up();
        if (on_lost)
            on_lost();
    }

    void give_up()
    {
        lost = true;
        out = false;
        const auto verdict =
            uncertain ? journal_verdict::unknown : journal_verdict::not_written;
        auto ended = std::exchange(batch, {});
        auto unsent = std::exchange(waiting, {});
        for (auto& entry : ended)
        {
            if (entry.done)
                entry.done(verdict);
        }
        for (auto& entry : unsent)
        {
            if (entry.done)
                entry.done(journal_verdict::not_written);
        }
    }

    void drop_what_may_be()
    {
        std::vector<journal_entry> dropped;
        const auto sort_out = [&dropped](auto& entries)
        {
            for (auto& entry : entries)
            {
                if (entry.droppable)
                    dropped.push_back(std::move(entry));
            }
            std::erase_if(entries, [](const journal_entry& entry)
                          { return entry.droppable; });
        };
        sort_out(batch);
        sort_out(waiting);
        for (auto& entry : dropped)
        {
            if (entry.done)
                entry.done(journal_verdict::not_written);
        }
    }

    void try_later()
    {
        const auto wait = backoff;
        backoff = std::min(backoff * 2, settings.longest_backoff);
        later(wait,
              [self = shared_from_this()]
              {
                  if (self->lost)
                      return;
                  if (!self->batch.empty())
                      return self->transmit();
                  self->out = false;
                  self->send_next();
              });
    }
};

journal_chain::journal_chain(row_store& store, delay later, part_number part,
                             chain_head head,
                             const journal_chain_settings& settings,
                             std::function<void()> on_lost)
    : state_(std::make_shared<state>(store, std::move(later), part,
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
    // What is out may be done yet.
    state_->uncertain = state_->uncertain || state_->out;
    state_->give_up();
}

bool journal_chain::idle() const
{
    return !state_->out && state_->waiting.empty();
}

bool journal_chain::troubled() const
{
    return state_->troubled;
}

const chain_head& journal_chain::head() const
{
    return state_->end;
}

const journal_chain_stats& journal_chain::stats() const
{
    return state_->stats;
}

} // namespace glenhollow
