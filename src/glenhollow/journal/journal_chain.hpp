#ifndef GLENHOLLOW_JOURNAL_JOURNAL_CHAIN_HPP
#define GLENHOLLOW_JOURNAL_JOURNAL_CHAIN_HPP

#include "glenhollow/core/clock.hpp"
#include "glenhollow/core/names.hpp"
#include "glenhollow/durable/durable_job.hpp"
#include "glenhollow/journal/row_store.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace glenhollow
{

/// The row at the end of a part's chain of transactions.
struct chain_head
{
    std::string owner;             ///< Name of the entry that wrote it.
    std::uint64_t incarnation = 0; ///< Of that entry.
    std::uint32_t epoch = 0;       ///< Counts owners, from 1; 0: no row.
    std::uint64_t sequence = 0;    ///< Counts the owner's transactions.
    std::uint64_t version = 0;     ///< Of the row; 0: no row.
};

/// @param head What the row says; its version is not written.
/// @return The row's value.
std::string encode_head(const chain_head& head);

/// @param row The row.
/// @return What it says, or what is wrong with it.
result<chain_head> decode_head(const stored_row& row);

/// @param part A part of the journal.
/// @return Its name in the store.
std::string part_name(part_number part);

/// @param part A part of the journal.
/// @return The key of its head row.
row_key head_key(part_number part);

/// How an entry of the journal ended.
enum class journal_outcome : std::uint8_t
{
    durable,     ///< It is in the store.
    not_written, ///< It is not and never will be.
    unknown      ///< The part was lost before it was settled.
};

template <>
struct name_table<journal_outcome>
{
    static constexpr std::array<std::string_view, 3> names{
        "durable", "not_written", "unknown"};
};

/// When an entry should leave.
enum class journal_urgency : std::uint8_t
{
    immediate, ///< With the next transaction, which leaves when none is out.
    batched    ///< May wait a little for company.
};

/// Rows that change together, and who waits for it.
struct journal_entry
{
    std::vector<row_write> puts;                          ///< Rows to write.
    std::vector<row_key> removes;                         ///< Rows to remove.
    journal_urgency urgency = journal_urgency::immediate; ///< When.
    bool droppable = false; ///< While the store turns us away, give it up.
    std::function<void(journal_outcome)> done; ///< Told the end; may be empty.
};

/// Limits of a chain.
struct journal_chain_settings
{
    duration batch_delay = milliseconds{12};      ///< For `gathered` entries.
    duration first_backoff = milliseconds{25};    ///< After a refusal.
    duration longest_backoff = milliseconds{200}; ///< Between tries.
};

/// Counters of a chain.
struct journal_chain_stats
{
    std::uint64_t transactions = 0;      ///< Calls made.
    std::uint64_t entries = 0;           ///< Entries made durable.
    std::uint64_t refused = 0;           ///< Calls turned away.
    std::uint64_t unknown = 0;           ///< Calls without an answer.
    std::uint64_t confirmed_by_head = 0; ///< Of them, found done by the head.
};

/// The writer's end of one part's journal: a chain of transactions, each under
/// the condition that the head row is the one its predecessor left. One
/// transaction is out at a time; the next takes all that came meanwhile. One
/// thread.
class journal_chain final
{
public:
    /// Runs a function after a while; the process's loop does.
    using delay = std::function<void(duration, std::function<void()>)>;

    /// @param store Where rows lie; outlives the chain's calls.
    /// @param later Runs delayed work.
    /// @param part Which part.
    /// @param head The claim as it was written: version and epoch are ours.
    /// @param settings Limits.
    /// @param on_lost Told once when another entry has taken the part.
    journal_chain(row_store& store, delay schedule, part_number part,
                  chain_head head, const journal_chain_settings& settings,
                  std::function<void()> on_lost);
    ~journal_chain();

    /// @param entry Rows and who waits.
    void append(journal_entry entry);

    /// Gives the part up: waiting entries are not written; the transaction
    /// that is out stays unknown.
    void abandon();

    /// @return Whether nothing waits or is out.
    bool idle() const;

    /// @return Whether the store has refused or not answered the last try.
    bool is_failing() const;

    /// @return The chain's end as last known.
    const chain_head& head() const;

    /// @return Counters.
    const journal_chain_stats& stats() const;

private:
    struct state;
    std::shared_ptr<state> state_; ///< Shared with calls that are out.
};

} // namespace glenhollow

#endif
